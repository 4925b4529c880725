/** A parsed log line. */
export interface ParsedLogLine {
  /**
   * Text before the line's own fields, such as the timestamp and instance that
   * a log collector adds.
   */
  prefix: string;
  /** Time of the line in Unix milliseconds. */
  timeMs: number;
  event: string;
  fields: ReadonlyMap<string, string>;
}

const LINE_START = /(?:^|\s)(level=\S+ time=)/;
const FIELD = /([A-Za-z][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S+)/gy;

/**
 * Parses a line that a logger wrote; returns undefined if it is not one or is
 * truncated.
 */
export function parseLogLine(line: string): ParsedLogLine | undefined {
  const start = LINE_START.exec(line);
  if (!start) return undefined;
  const prefix = line.slice(0, start.index).trim();
  const text = line.slice(line.indexOf(start[1], start.index)).trimEnd();
  const fields = new Map<string, string>();
  FIELD.lastIndex = 0;
  let end = 0;
  for (let match = FIELD.exec(text); match; match = FIELD.exec(text)) {
    const value = unquote(match[2]);
    if (value === undefined) return undefined;
    fields.set(match[1], value);
    end = FIELD.lastIndex;
    FIELD.lastIndex = end + 1;
  }
  const timeMs = Date.parse(fields.get('time') ?? '');
  const event = fields.get('event');
  const isCutOff = end < text.length;
  if (isCutOff || event === undefined || Number.isNaN(timeMs)) return undefined;
  return {prefix, timeMs, event, fields};
}

function unquote(value: string): string | undefined {
  if (!value.startsWith('"')) return value;
  try {
    return JSON.parse(value) as string;
  } catch (error) {
    if (error instanceof SyntaxError) return undefined;
    throw error;
  }
}
