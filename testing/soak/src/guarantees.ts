import type {
  DutyStandIn,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {RawResponse} from '@sardinestile/hosting_tests';

/** Status codes that guarantee that a request has not run and will not run later. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Kind of a request; a `once` request must run at most once. */
export type SoakRequestKind = 'once' | 'idempotent' | 'resumable' | 'stream';

/** A request sent during a soak. */
export interface SoakCall {
  id: string;
  kind: SoakRequestKind;
  key: string;
  gateway: string;
  /** Time by performance.now(). */
  sentAtMs: number;
  /** Part that its prompt shares with other requests; only streams have a prompt. */
  promptPart?: string;
  body?: string;
  /** Broken call whose stream this one takes up. */
  resumes?: SoakCall;
  /** Number of events of its stream; `EVENTS_PER_STREAM` if absent. */
  events?: number;
  /** Time by performance.now() at which its last byte was sent; missing if none was. */
  sentWholeAtMs?: number;
  /** Time by performance.now() at which a slow caller began to read. */
  readFromMs?: number;
  /** Missing while the request runs, and after it timed out. */
  response?: RawResponse;
  /** Whether its caller closed the connection after waiting in vain. */
  hasTimedOut?: boolean;
  /** Time by performance.now() at which the response ended or the call timed out. */
  endedAtMs?: number;
  /**
   * Time by performance.now() at which the gateway had not closed its connection yet;
   * missing if it did not. The soak, busy itself, notices a close up to `endedAtMs`.
   */
  openUntilMs?: number;
}

/** Time by performance.now() at which the store acknowledged the revocation, by key. */
export type KeyRevocations = ReadonlyMap<string, number>;

/**
 * Checks the guarantees against the requests and responses of callers, the
 * requests that upstreams ran and the accepted reports. Returns one text for
 * each violated guarantee.
 */
export function checkGuarantees(
  calls: readonly SoakCall[],
  upstreams: readonly UpstreamStandIn[],
  duties: DutyStandIn,
  revokedKeys: KeyRevocations,
  revocationLimitMs: number,
): string[] {
  const failures: string[] = [];
  const runs = countRuns(upstreams);
  for (const call of calls) {
    const count = runs.get(call.id) ?? 0;
    const {response} = call;
    const where = `${call.id} at ${call.gateway}`;
    if (call.kind === 'once' && count > 1) {
      failures.push(`${where} ran ${count} times`);
    }
    if (
      call.kind === 'once' &&
      response &&
      NOT_RUN_STATUSES.has(response.status)
    ) {
      if (count > 0) failures.push(`${where} got ${response.status} but ran`);
    }
    const revokedAtMs = revokedKeys.get(call.key);
    if (
      revokedAtMs !== undefined &&
      call.sentAtMs > revokedAtMs + revocationLimitMs &&
      count > 0
    ) {
      failures.push(`${where} ran with a key that was revoked`);
    }
    if (response) {
      failures.push(
        ...checkResponse(call, response).map(f => `${where}: ${f}`),
      );
    }
  }
  return [...failures, ...checkReports(duties)];
}

function countRuns(upstreams: readonly UpstreamStandIn[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const {received} of upstreams) {
    for (const {requestId, wasProcessed} of received) {
      if (wasProcessed) runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    }
  }
  return runs;
}

function checkResponse(call: SoakCall, response: RawResponse): string[] {
  if (response.status !== 200) return [];
  const failures: string[] = [];
  const echoedId = response.headers['request-id'];
  if (echoedId !== call.id) failures.push(`got the response to ${echoedId}`);
  const isStream = call.kind === 'resumable' || call.kind === 'stream';
  if (!isStream) {
    if (response.isComplete && response.body !== 'done') {
      failures.push(`got the body ${JSON.stringify(response.body)}`);
    }
    return failures;
  }
  const ids = eventIdsOf(response);
  const earlier = call.resumes?.response
    ? eventIdsOf(call.resumes.response).length
    : 0;
  const isInOrder = ids.every((id, i) => id === earlier + i);
  if (!isInOrder) failures.push(`got the events ${ids.join(',')}`);
  const expected = call.events ?? EVENTS_PER_STREAM;
  if (response.isComplete && earlier + ids.length !== expected) {
    failures.push(`ended as complete after ${ids.length} events`);
  }
  return failures;
}

/** Returns the ids of the complete events of a response, in order. */
export function eventIdsOf({body}: RawResponse): number[] {
  return [...body.matchAll(/id: (\d+)\ndata: event \d+\n\n/g)].map(match =>
    Number(match[1]),
  );
}

/** Number of events in a complete stream, unless its call states another one. */
export const EVENTS_PER_STREAM = 12;

function checkReports({accepted}: DutyStandIn): string[] {
  const failures: string[] = [];
  const countsByWindow = new Map<unknown, string>();
  const holderByToken = new Map<number, string>();
  for (const {holder, fencingToken, body} of accepted) {
    const text = JSON.stringify(body.counts);
    const known = countsByWindow.get(body.window_seq) ?? text;
    if (known !== text) {
      failures.push(
        `window ${String(body.window_seq)} was reported with two different counts`,
      );
    }
    countsByWindow.set(body.window_seq, text);
    const first = holderByToken.get(fencingToken) ?? holder;
    if (first !== holder) failures.push(`token ${fencingToken} has 2 holders`);
    holderByToken.set(fencingToken, first);
  }
  return failures;
}
