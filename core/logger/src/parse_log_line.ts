/** A line that a process logged. */
export interface ParsedLogLine {
  /** What stands before the line's own fields, such as a collector's time and instance. */
  prefix: string;
  /** Unix milliseconds. */
  timeMs: number;
  event: string;
  fields: ReadonlyMap<string, string>;
}

const START = /(?:^|\s)(level=\S+ time=)/;
const PAIR = /([A-Za-z][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S+)/gy;

/** Parses a logged line; undefined if it is not one or was cut. */
export function parseLogLine(line: string): ParsedLogLine | undefined {
  const start = START.exec(line);
  if (!start) return undefined;
  const prefix = line.slice(0, start.index).trim();
  const text = line.slice(line.indexOf(start[1], start.index)).trimEnd();
  const fields = new Map<string, string>();
  PAIR.lastIndex = 0;
  let end = 0;
  for (let pair = PAIR.exec(text); pair; pair = PAIR.exec(text)) {
    const value = unquote(pair[2]);
    if (value === undefined) return undefined;
    fields.set(pair[1], value);
    end = PAIR.lastIndex;
    PAIR.lastIndex = end + 1;
  }
  const timeMs = Date.parse(fields.get('time') ?? '');
  const event = fields.get('event');
  const isCut = end < text.length;
  if (isCut || event === undefined || Number.isNaN(timeMs)) return undefined;
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
