import {parseLogLine, type ParsedLogLine} from '@sardinestile/logger';

/** What the logs tell of one request. */
export interface RequestStory {
  /** The request's lines over all processes, oldest first. */
  lines: ParsedLogLine[];
  /** Lines that could not be read. */
  unreadable: number;
}

/** Fields that every line of a story would repeat. */
const LEFT_OUT: ReadonlySet<string> = new Set([
  'level',
  'time',
  'event',
  'requestId',
]);

/** Collects the lines of one request; other lines are skipped, cut ones counted. */
export async function collectStory(
  lines: AsyncIterable<string> | Iterable<string>,
  requestId: string,
): Promise<RequestStory> {
  const story: RequestStory = {lines: [], unreadable: 0};
  for await (const text of lines) {
    if (text.trim() === '') continue;
    const line = parseLogLine(text);
    if (!line) story.unreadable++;
    else if (line.fields.get('requestId') === requestId) story.lines.push(line);
  }
  story.lines.sort((a, b) => a.timeMs - b.timeMs);
  return story;
}

/** Renders a story: time since its first line, process, event and fields. */
export function formatStory({lines, unreadable}: RequestStory): string {
  const startMs = lines[0]?.timeMs ?? 0;
  const rendered = lines.map(({timeMs, prefix, event, fields}) => {
    const details = [...fields]
      .filter(([name]) => !LEFT_OUT.has(name))
      .map(([name, value]) => `${name}=${value}`);
    const offset = `+${timeMs - startMs}ms`.padStart(9);
    return [offset, prefix, event, ...details].filter(Boolean).join(' ');
  });
  if (unreadable > 0) rendered.push(`${unreadable} line(s) could not be read`);
  return `${rendered.join('\n')}\n`;
}
