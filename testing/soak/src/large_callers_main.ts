import {startLargeCallers} from './large_callers.js';
import type {LargeCallsOptions, LargeCallsResult} from './run_large_callers.js';

process.once('message', async (options: LargeCallsOptions) => {
  const {address, path, pattern, durationMs} = options;
  const callers = startLargeCallers(address, path, pattern);
  await new Promise(resolve => setTimeout(resolve, durationMs));
  await callers.stop();
  const result: LargeCallsResult = {
    outcomes: [...callers.outcomes],
    failures: [...callers.failures],
  };
  process.send!(result, () => process.disconnect());
});
