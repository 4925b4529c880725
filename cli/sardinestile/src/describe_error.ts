/** Returns the stack of an error, or the text of anything else that was thrown. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.stack ?? error.message;
}
