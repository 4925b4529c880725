/** Replacement of a contiguous range of lines in a text. */
export interface TextEdit {
  /** Index of the first replaced line; starts at 0. */
  startLine: number;
  /** Number of lines that are removed. */
  deleteCount: number;
  /** The lines that are inserted. */
  lines: string[];
}

/** Computes the smallest single edit that turns one text into another. */
export function diffText(before: string, after: string): TextEdit {
  const oldLines = before.split('\n');
  const newLines = after.split('\n');
  const minLength = Math.min(oldLines.length, newLines.length);
  let prefix = 0;
  while (prefix < minLength && oldLines[prefix] === newLines[prefix]) prefix++;
  let suffix = 0;
  while (
    suffix < minLength - prefix &&
    oldLines[oldLines.length - 1 - suffix] ===
      newLines[newLines.length - 1 - suffix]
  ) {
    suffix++;
  }
  return {
    startLine: prefix,
    deleteCount: oldLines.length - prefix - suffix,
    lines: newLines.slice(prefix, newLines.length - suffix),
  };
}

/** Applies an edit to the text that it was computed for. */
export function applyTextEdit(text: string, edit: TextEdit): string {
  const lines = text.split('\n');
  lines.splice(edit.startLine, edit.deleteCount, ...edit.lines);
  return lines.join('\n');
}
