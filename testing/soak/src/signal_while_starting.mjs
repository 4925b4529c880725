// Preloaded into a gateway process. Sends the process the signal SIGNAL_WHILE_STARTING
// before it listens for the first time, and lets all its servers listen after a delay.
import {Server} from 'node:net';

const RESUME_DELAY_MS = 100;

const {listen} = Server.prototype;
let isSent = false;

Server.prototype.listen = function (...args) {
  if (!isSent) process.kill(process.pid, process.env.SIGNAL_WHILE_STARTING);
  isSent = true;
  setTimeout(() => listen.apply(this, args), RESUME_DELAY_MS);
  return this;
};
