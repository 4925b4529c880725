import type {RawResponse} from './raw_request.js';

/** Returns the numbers from 0 to `count` - 1. */
export function numbersBelow(count: number): number[] {
  return Array.from({length: count}, (_, i) => i);
}

/** Returns the ids of the complete events of a response, in order. */
export function eventIds({body}: RawResponse): number[] {
  return [...body.matchAll(/id: (\d+)\ndata: event \d+\n\n/g)].map(match =>
    Number(match[1]),
  );
}

/** Returns the software versions that wrote the complete events of some responses. */
export function versionsOf(
  ...responses: readonly RawResponse[]
): ReadonlySet<string> {
  return new Set(
    responses.flatMap(({body}) =>
      [...body.matchAll(/event: (\S+)\nid: \d+\ndata: event \d+\n\n/g)].map(
        match => match[1],
      ),
    ),
  );
}
