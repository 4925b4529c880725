import {inspect} from 'node:util';

/** Returns the stack of an error, or the text of anything else that was thrown. Never throws. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return inspect(error);
  return error.stack ?? error.message;
}
