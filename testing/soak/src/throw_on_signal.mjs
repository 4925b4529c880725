// Preloaded into a gateway process. SIGWINCH throws an exception in a timer, and SIGURG
// rejects a promise. With THROW_WHILE_STARTING the process throws one before it listens
// for the first time.
import {Server} from 'node:net';

const throwLater = () =>
  setTimeout(() => {
    throw new Error('thrown in a timer');
  });

process.on('SIGWINCH', throwLater);
process.on('SIGURG', () => Promise.reject(new Error('rejected by nobody')));

if (process.env.THROW_WHILE_STARTING) {
  // No server listens, so that the process is starting when the exception comes.
  let hasThrown = false;
  Server.prototype.listen = function () {
    if (!hasThrown) throwLater();
    hasThrown = true;
    return this;
  };
}
