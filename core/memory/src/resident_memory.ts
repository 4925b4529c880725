/**
 * Returns the resident memory of this process, in bytes; undefined while it cannot open
 * another file.
 */
export function readResidentBytes(): number | undefined {
  try {
    return process.memoryUsage.rss();
  } catch {
    return undefined;
  }
}
