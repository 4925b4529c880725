import {parseLogLine, type ParsedLogLine} from '@sardinestile/logger';

/** The log lines of one request. */
export interface RequestLog {
  /** Lines of all processes about the request, oldest first. */
  lines: ParsedLogLine[];
  /** Number of lines, of any request, that could not be parsed. */
  unparsed: number;
}

/** Fields that are omitted from the details of a row. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'event',
  'requestId',
]);

/**
 * Collects the log lines of one request. Skips the lines of other requests and
 * counts those that could not be parsed, such as truncated ones.
 */
export async function collectRequestLog(
  lines: AsyncIterable<string> | Iterable<string>,
  requestId: string,
): Promise<RequestLog> {
  const log: RequestLog = {lines: [], unparsed: 0};
  for await (const text of lines) {
    if (text.trim() === '') continue;
    const line = parseLogLine(text);
    if (!line) log.unparsed++;
    else if (line.fields.get('requestId') === requestId) log.lines.push(line);
  }
  log.lines.sort((a, b) => a.timeMs - b.timeMs);
  return log;
}

/**
 * Formats the log of a request, one row for each line: time since the first
 * line, the prefix that the log collector added, event and other fields.
 */
export function formatRequestLog({lines, unparsed}: RequestLog): string {
  const startMs = lines[0]?.timeMs ?? 0;
  const rendered = lines.map(({timeMs, prefix, event, fields}) => {
    const details = [...fields]
      .filter(([name]) => !OMITTED_FIELDS.has(name))
      .map(([name, value]) => `${name}=${value}`);
    const offset = `+${timeMs - startMs}ms`.padStart(9);
    return [offset, prefix, event, ...details].filter(Boolean).join(' ');
  });
  if (unparsed > 0) rendered.push(`${unparsed} line(s) could not be parsed`);
  return `${rendered.join('\n')}\n`;
}
