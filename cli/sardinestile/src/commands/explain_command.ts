import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {SardinestileError} from '@sardinestile/errors';
import {command, positional, restPositionals, string} from 'cmd-ts';
import {collectStory, formatStory} from '../explain_request.js';

/** `sardinestile explain`. */
export const explainCommand = command({
  name: 'explain',
  description: "Print one request's story from collected logs.",
  args: {
    requestId: positional({type: string, displayName: 'request-id'}),
    files: restPositionals({
      type: string,
      displayName: 'file',
      description: 'log files; standard input without any',
    }),
  },
  handler: async ({requestId, files}) => {
    const story = await collectStory(readLines(files), requestId);
    if (story.lines.length === 0) {
      throw new SardinestileError({
        code: 'NOT_FOUND',
        message: `no line is about request ${requestId}; ${story.unreadable} line(s) could not be read`,
        hint: 'Collect the logs of every gateway, and of the time of the request.',
      });
    }
    process.stdout.write(formatStory(story));
  },
});

async function* readLines(files: string[]): AsyncIterable<string> {
  const inputs =
    files.length === 0
      ? [process.stdin]
      : files.map(file => createReadStream(file));
  for (const input of inputs) {
    yield* createInterface({input, crlfDelay: Infinity});
  }
}
