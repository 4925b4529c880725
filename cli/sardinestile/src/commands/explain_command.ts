import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {SardinestileError} from '@sardinestile/errors';
import {command, positional, restPositionals, string} from 'cmd-ts';
import {collectRequestLog, formatRequestLog} from '../explain_request.js';

/** The command `sardinestile explain`. */
export const explainCommand = command({
  name: 'explain',
  description: 'Print the log lines of one request in time order.',
  args: {
    requestId: positional({type: string, displayName: 'request-id'}),
    files: restPositionals({
      type: string,
      displayName: 'file',
      description: 'log files; reads standard input if none is given',
    }),
  },
  handler: async ({requestId, files}) => {
    const log = await collectRequestLog(readLines(files), requestId);
    if (log.lines.length === 0) {
      throw new SardinestileError({
        code: 'NOT_FOUND',
        message: `found no log line of request ${requestId}; ${log.unparsed} line(s) could not be parsed`,
        hint: 'Pass the logs of all gateways, from the time of the request.',
      });
    }
    process.stdout.write(formatRequestLog(log));
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
