import type {StoppableProcess} from './start_daemon.js';

/** Waits for SIGTERM or SIGINT, then stops the process gracefully. */
export function runUntilSignal(daemon: StoppableProcess): Promise<void> {
  return new Promise((resolve, reject) => {
    const stop = () => {
      daemon.stop().then(resolve, reject);
    };
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  });
}
