import type {
  DutyStandIn,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {RawResponse} from '@sardinestile/hosting_tests';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Kind of a soak's request; `once` may run at most once. */
export type SoakKind = 'once' | 'idempotent' | 'resumable' | 'stream';

/** A request that a caller of the soak sent. */
export interface SoakCall {
  id: string;
  kind: SoakKind;
  key: string;
  gateway: string;
  sentAtMs: number;
  answer?: RawResponse;
}

/** Times at which a key was taken away, as the store acknowledged it. */
export type WithdrawnKeys = ReadonlyMap<string, number>;

/** Checks what callers and upstreams saw; returns each promise that was broken. */
export function checkPromises(
  calls: readonly SoakCall[],
  upstreams: readonly UpstreamStandIn[],
  duties: DutyStandIn,
  withdrawn: WithdrawnKeys,
  revokeMs: number,
): string[] {
  const broken: string[] = [];
  const runs = countRuns(upstreams);
  for (const call of calls) {
    const count = runs.get(call.id) ?? 0;
    const {answer} = call;
    const where = `${call.id} at ${call.gateway}`;
    if (call.kind === 'once' && count > 1) {
      broken.push(`${where} ran ${count} times`);
    }
    if (call.kind === 'once' && answer && NOT_RUN_STATUSES.has(answer.status)) {
      if (count > 0) broken.push(`${where} got ${answer.status} but ran`);
    }
    const takenAtMs = withdrawn.get(call.key);
    if (
      takenAtMs !== undefined &&
      call.sentAtMs > takenAtMs + revokeMs &&
      count > 0
    ) {
      broken.push(`${where} ran with a key that was withdrawn`);
    }
    if (answer) {
      broken.push(...checkAnswer(call, answer).map(f => `${where}: ${f}`));
    }
  }
  return [...broken, ...checkDuties(duties)];
}

function countRuns(upstreams: readonly UpstreamStandIn[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const {received} of upstreams) {
    for (const {requestId, hasRun} of received) {
      if (hasRun) runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    }
  }
  return runs;
}

function checkAnswer(call: SoakCall, answer: RawResponse): string[] {
  if (answer.status !== 200) return [];
  const broken: string[] = [];
  const named = answer.headers['request-id'];
  if (named !== call.id) broken.push(`got the answer of ${named}`);
  const isStream = call.kind === 'resumable' || call.kind === 'stream';
  if (!isStream) {
    if (answer.isComplete && answer.body !== 'done') {
      broken.push(`got the body ${JSON.stringify(answer.body)}`);
    }
    return broken;
  }
  const ids = [...answer.body.matchAll(/id: (\d+)\ndata: event \d+\n\n/g)].map(
    match => Number(match[1]),
  );
  const isInOrder = ids.every((id, i) => id === i);
  if (!isInOrder) broken.push(`got the events ${ids.join(',')}`);
  if (answer.isComplete && ids.length !== SOAK_EVENTS) {
    broken.push(`ended as whole after ${ids.length} events`);
  }
  return broken;
}

/** Events of each stream of the soak. */
export const SOAK_EVENTS = 12;

function checkDuties({accepted}: DutyStandIn): string[] {
  const broken: string[] = [];
  const figures = new Map<unknown, string>();
  const holders = new Map<number, string>();
  for (const {holder, fencingToken, body} of accepted) {
    const text = JSON.stringify(body.counts);
    const known = figures.get(body.window_seq) ?? text;
    if (known !== text) {
      broken.push(`window ${String(body.window_seq)} has two figures`);
    }
    figures.set(body.window_seq, text);
    const first = holders.get(fencingToken) ?? holder;
    if (first !== holder) broken.push(`token ${fencingToken} has two holders`);
    holders.set(fencingToken, first);
  }
  return broken;
}
