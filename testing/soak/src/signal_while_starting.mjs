// Preloaded into a gateway process. Sends the process the signal SIGNAL_WHILE_STARTING
// before it listens for the first time, and lets it go on after a delay.
import {Server} from 'node:net';

const RESUME_DELAY_MS = 100;

const listen = Server.prototype.listen;

Server.prototype.listen = function (...args) {
  Server.prototype.listen = listen;
  process.kill(process.pid, process.env.SIGNAL_WHILE_STARTING);
  setTimeout(() => this.listen(...args), RESUME_DELAY_MS);
  return this;
};
