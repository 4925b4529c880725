import {createSeededRandom} from '@sardinestile/types';
import {
  assignGroup,
  createUpstreamFleet,
  placeRequest,
  selectGroup,
  type UpstreamFleet,
  type UpstreamRecord,
} from '../src/index.js';

const SERVICE = 'plain';
const GATEWAYS = 43;
const SLOTS = 6;
const CALL_MS = 85.7;

/** Time that a datagram takes, in milliseconds. */
const DATAGRAM_MS = 5;

/** Time that callers wait for a slot, in milliseconds. */
const CALLER_PATIENCE_MS = 500;

/** Time for which the registration of a crashed upstream stays, in milliseconds. */
const REGISTRATION_MS = 3_000;

const CRASH_AT_MS = 20_000;
const RETURN_AT_MS = 26_000;
const END_MS = 30_000;

/** Which gateways use an upstream and hear of its requests. */
export type GroupPolicy = 'dividedByCount' | 'shared';

/** Results of one run. */
export interface GroupsResult {
  /** Highest mean load of the upstreams of a group in 1 s, in requests for each slot, before the crash. */
  worstSecond: number;
  /** Mean load of the upstreams of the most loaded group before the crash. */
  worstMean: number;
  /** Share of the requests of the worst group that had no slot within 50 ms, by phase. */
  lateShare: number;
  lateShareAfterCrash: number;
}

interface Job {
  gateway: number;
  requestId: string;
  arrivedAtMs: number;
  endsAtMs: number;
}

interface VirtualUpstream {
  record: UpstreamRecord;
  running: Job[];
  waiting: Job[];
}

/** Plays 43 gateways before three upstreams of a plain service, one of which crashes. */
export function runGroups(
  policy: GroupPolicy,
  {
    seed,
    demandSlots,
    crashed,
  }: {seed: number; demandSlots: number; crashed: number},
): GroupsResult {
  const {next: random} = createSeededRandom(seed);
  const names = Array.from({length: GATEWAYS}, (_, i) => `front-${i}`);
  const groups = names.map(name => assignGroup(name, names));
  const upstreams: VirtualUpstream[] = [0, 1, 2].map(i => ({
    record: {
      id: `u-${i}`,
      service: SERVICE,
      address: `127.0.0.1:${i}`,
      availabilityZone: 'abc'[i],
      places: SLOTS,
      isLeaving: false,
      coldMs: 0,
      startedAtWallMs: 1,
    },
    running: [],
    waiting: [],
  }));
  const fleets = groups.map(group => createFleet(policy, group));
  const put = (record: UpstreamRecord) =>
    fleets.forEach(({membership}) => membership.put(record, 0));
  upstreams.forEach(({record}) => put(record));
  /** Messages that are under way, in the order of their arrival. */
  const messages: Array<{atMs: number; to: number; apply: Apply}> = [];
  let delivered = 0;
  type Apply = (fleet: UpstreamFleet, nowMs: number) => void;
  const tell = (from: number, nowMs: number, apply: Apply) => {
    apply(fleets[from], nowMs);
    for (let to = 0; to < GATEWAYS; to++) {
      const isHeard =
        policy === 'shared' || groups[to].index === groups[from].index;
      if (to !== from && isHeard) {
        messages.push({atMs: nowMs + DATAGRAM_MS, to, apply});
      }
    }
  };
  const late = {before: [0, 0], after: [0, 0]};
  const sent = {before: [0, 0], after: [0, 0]};
  const loadSums: number[][] = [];
  const usedBy = [0, 1].map(index =>
    fleets[groups.findIndex(group => group.index === index)].upstreamsOf(
      SERVICE,
    ),
  );
  const phaseAt = (atMs: number) => (atMs >= CRASH_AT_MS ? 'after' : 'before');
  const crashedUpstream = upstreams[crashed];
  let requests = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs++) {
    const isDown = nowMs >= CRASH_AT_MS && nowMs < RETURN_AT_MS;
    const phase = phaseAt(nowMs);
    const finish = (upstream: VirtualUpstream, job: Job, hasFailed: boolean) =>
      tell(job.gateway, nowMs, (fleet, atMs) => {
        fleet.recordEnd(upstream.record.id, job.requestId, atMs);
        if (hasFailed) {
          fleet.recordPeerOutcome(upstream.record.id, true, atMs);
        }
      });
    if (nowMs === CRASH_AT_MS) {
      const {running, waiting} = crashedUpstream;
      for (const job of [...running, ...waiting]) {
        finish(crashedUpstream, job, true);
      }
      crashedUpstream.running = [];
      crashedUpstream.waiting = [];
    }
    if (nowMs === CRASH_AT_MS + REGISTRATION_MS) {
      fleets.forEach(({membership}) =>
        membership.remove(crashedUpstream.record.id, nowMs),
      );
    }
    if (nowMs === RETURN_AT_MS) {
      put({...crashedUpstream.record, startedAtWallMs: 2});
    }
    for (; messages[delivered]?.atMs <= nowMs; delivered++) {
      const {to, apply} = messages[delivered];
      apply(fleets[to], nowMs);
    }
    for (const upstream of upstreams) {
      for (const job of upstream.running.filter(j => j.endsAtMs <= nowMs)) {
        finish(upstream, job, false);
      }
      upstream.running = upstream.running.filter(j => j.endsAtMs > nowMs);
      for (const job of upstream.waiting) {
        if (nowMs - job.arrivedAtMs < CALLER_PATIENCE_MS) continue;
        finish(upstream, job, false);
        late[phaseAt(job.arrivedAtMs)][groups[job.gateway].index]++;
      }
      upstream.waiting = upstream.waiting.filter(
        job => nowMs - job.arrivedAtMs < CALLER_PATIENCE_MS,
      );
      while (upstream.running.length < SLOTS && upstream.waiting.length > 0) {
        const job = upstream.waiting.shift()!;
        if (nowMs - job.arrivedAtMs >= 50) {
          late[phaseAt(job.arrivedAtMs)][groups[job.gateway].index]++;
        }
        job.endsAtMs = nowMs + CALL_MS * (0.5 + random());
        upstream.running.push(job);
      }
    }
    for (let n = poisson(demandSlots / CALL_MS, random); n > 0; n--) {
      const gateway = Math.floor(random() * GATEWAYS);
      sent[phase][groups[gateway].index]++;
      const triedUpstreamIds = new Set<string>();
      const requestId = `r${requests++}`;
      for (;;) {
        const placement = placeRequest(
          fleets[gateway],
          {
            requestId,
            service: SERVICE,
            promptTokens: 0,
            promptParts: [],
            urgency: 1,
            targetLatencyMs: 100,
            triedUpstreamIds,
          },
          nowMs,
        );
        if (!placement) {
          late[phase][groups[gateway].index]++;
          break;
        }
        const {id} = placement.upstream;
        triedUpstreamIds.add(id);
        const upstream = upstreams.find(({record}) => record.id === id)!;
        const job = {gateway, requestId, arrivedAtMs: nowMs, endsAtMs: 0};
        tell(gateway, nowMs, (fleet, atMs) =>
          fleet.recordPlacement(
            names[gateway],
            {
              requestId,
              upstreamId: id,
              promptParts: [],
              uncachedTokens: 0,
              promptTokens: 0,
              urgency: 1,
            },
            atMs,
          ),
        );
        if (isDown && upstream === crashedUpstream) {
          finish(upstream, job, true);
          continue;
        }
        upstream.waiting.push(job);
        break;
      }
    }
    if (phase === 'before') {
      const second = Math.floor(nowMs / 1_000);
      loadSums[second] ??= [0, 0];
      usedBy.forEach((records, group) => {
        let jobs = 0;
        for (const {record, running, waiting} of upstreams) {
          if (records.some(({id}) => id === record.id)) {
            jobs += running.length + waiting.length;
          }
        }
        loadSums[second][group] += jobs / (records.length * SLOTS) / 1_000;
      });
    }
  }
  const seconds = loadSums.length;
  const means = [0, 1].map(
    group => loadSums.reduce((sum, loads) => sum + loads[group], 0) / seconds,
  );
  const worstShare = (at: 'before' | 'after') =>
    Math.max(...[0, 1].map(group => late[at][group] / sent[at][group]));
  return {
    worstSecond: Math.max(...loadSums.flat()),
    worstMean: Math.max(...means),
    lateShare: worstShare('before'),
    lateShareAfterCrash: worstShare('after'),
  };
}

function createFleet(
  policy: GroupPolicy,
  group: ReturnType<typeof assignGroup>,
): UpstreamFleet {
  const fleet = createUpstreamFleet({
    traitsOf: () => undefined,
    shortestTargetGapMs: () => Infinity,
  });
  if (policy === 'shared') {
    fleet.setGroup(group);
    return fleet;
  }
  const upstreamsOf = (service: string) =>
    selectGroup(
      fleet.membership.usableUpstreamsOf(service),
      ({id}) => id,
      group,
    );
  return {...fleet, upstreamsOf};
}

/** Returns a number of arrivals in a millisecond. */
function poisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
