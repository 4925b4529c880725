import {describe, it} from 'node:test';
import {createSeededRandom} from '@sardinestile/types';
import {expect} from 'earl';
import {createRequestLimits, type RequestLimits} from '../src/index.js';

const UPSTREAM = {id: 'u', startedAtWallMs: 1};
const DURATION_MS = 20_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const GATEWAY_COUNTS = [1, 4, 30, 68];

/** Most requests that may reach a cold upstream in any one second. */
const maxPerSecond = (coldPerS: number) => coldPerS * 1.5 + 5;

/** Options for runGateways. */
interface GatewaysOptions {
  seed: number;
  gateways: number;
  coldPerS: number;
  /** Requests at steady times over all gateways, in requests a second. */
  steadyPerS: number;
  /** Requests of each of the bursts, which come twice a second within 10 ms. */
  burstRequests?: number;
  /** Time at which every gateway gets a request in the same millisecond. */
  volleyAtMs?: number;
  /** Time without requests before the volley. */
  pauseMs?: number;
  lossRate?: number;
  /** Number of parts that do not hear each other, with equal numbers of gateways. */
  parts?: number;
  /** Time at which the first gateway learns that the upstream is cold. */
  lateMs?: number;
}

interface SentRequest {
  atMs: number;
  gateway: number;
}

/** Plays gateways; a third of them get ten times as many requests as the others. */
function runGateways(options: GatewaysOptions): SentRequest[] {
  const {gateways: count, coldPerS, parts = 1, lossRate = 0} = options;
  const {volleyAtMs = Infinity, pauseMs = 0, lateMs = 0} = options;
  const random = createSeededRandom(options.seed);
  const gateways: RequestLimits[] = Array.from({length: count}, (_, gateway) =>
    createRequestLimits({
      heardShare: () => 1 / parts,
      senderCount: () => count,
      coldRatePerS: (_upstream, nowMs) =>
        gateway === 0 && nowMs < lateMs ? undefined : coldPerS,
      random,
    }),
  );
  const weights = gateways.map(() => (random.next() < 0.3 ? 10 : 1));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const pickGateway = () => {
    let rest = random.next() * totalWeight;
    return weights.findIndex(weight => (rest -= weight) < 0);
  };
  const sent: SentRequest[] = [];
  const heard = new Map<number, number[]>();
  const offer = (gateway: number, atMs: number) => {
    if (gateways[gateway].waitMs(UPSTREAM, atMs) > 0) return;
    gateways[gateway].recordRequest(UPSTREAM, atMs);
    sent.push({atMs, gateway});
    for (let to = 0; to < count; to++) {
      if (to === gateway || to % parts !== gateway % parts) continue;
      if (random.next() < lossRate) continue;
      const arrivesAtMs = atMs + 5 + Math.floor(random.next() * 6);
      heard.set(arrivesAtMs, [...(heard.get(arrivesAtMs) ?? []), to]);
    }
  };
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs++) {
    for (const to of heard.get(nowMs) ?? []) {
      gateways[to].recordRequest(UPSTREAM, nowMs);
    }
    heard.delete(nowMs);
    if (nowMs === volleyAtMs) gateways.forEach((_, i) => offer(i, nowMs));
    if (nowMs >= volleyAtMs - pauseMs && nowMs <= volleyAtMs) continue;
    let requests = options.steadyPerS / 1_000;
    if (nowMs % 500 < 10) requests += (options.burstRequests ?? 0) / 10;
    for (; requests > 0; requests--) {
      if (random.next() < requests) offer(pickGateway(), nowMs);
    }
  }
  return sent;
}

function mostInOneSecond(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((atMs, i) => {
    while (times[first] <= atMs - 1_000) first++;
    most = Math.max(most, i - first + 1);
  });
  return most;
}

const timesOf = (sent: readonly SentRequest[]) => sent.map(({atMs}) => atMs);

/** Runs a load with all seeds; returns the most requests in a second and the lowest share of the limit that is used. */
function measure(options: Omit<GatewaysOptions, 'seed'>) {
  const runs = SEEDS.map(seed => timesOf(runGateways({...options, seed})));
  const limit = options.coldPerS * (DURATION_MS / 1_000);
  return {
    most: Math.max(...runs.map(mostInOneSecond)),
    usedShare: Math.min(...runs.map(times => times.length / limit)),
  };
}

/** Demand of a whole fleet (210 to 290 requests a second), or far above the limit. */
const demandFor = (coldPerS: number) => Math.max(250, 10 * coldPerS + 10);

describe('createRequestLimits for cold upstreams', () => {
  for (const gateways of GATEWAY_COUNTS) {
    for (const coldPerS of [1, 11, 40]) {
      describe(`of ${coldPerS} a second, with ${gateways} gateways that start at the same moment`, () => {
        const load = {gateways, coldPerS, lossRate: 0.1};

        it('keeps the bound and uses the limit under uneven demand', () => {
          const steadyPerS = demandFor(coldPerS);
          const {most, usedShare} = measure({...load, steadyPerS});
          expect(most).toBeLessThanOrEqual(maxPerSecond(coldPerS));
          expect(usedShare).toBeGreaterThanOrEqual(0.7);
        });

        it('keeps the bound and uses the limit under bursts', () => {
          const {most, usedShare} = measure({
            ...load,
            steadyPerS: demandFor(coldPerS),
            burstRequests: 100,
          });
          expect(most).toBeLessThanOrEqual(maxPerSecond(coldPerS));
          expect(usedShare).toBeGreaterThanOrEqual(0.7);
        });

        it('keeps the bound when every gateway gets a request in one millisecond after a pause', () => {
          const {most} = measure({
            ...load,
            steadyPerS: demandFor(coldPerS),
            volleyAtMs: 5_000,
            pauseMs: 2_000,
          });
          expect(most).toBeLessThanOrEqual(maxPerSecond(coldPerS));
        });

        it('keeps the bound when the gateways are cut off from each other', () => {
          const {most} = measure({
            ...load,
            parts: gateways,
            steadyPerS: demandFor(coldPerS),
            burstRequests: 100,
          });
          expect(most).toBeLessThanOrEqual(maxPerSecond(coldPerS));
        });
      });
    }
  }

  describe('with a gateway that learns a second late that the upstream is cold', () => {
    // Before, it sends all that it gets; the others have to leave room for it.
    for (const gateways of [4, 30, 68]) {
      it(`lets the others of ${gateways} add no more than the bound, and fewer the more it sends`, () => {
        for (const seed of SEEDS) {
          const load = {seed, gateways, coldPerS: 11, lossRate: 0.1};
          const sent = runGateways({...load, steadyPerS: 120, lateMs: 1_000});
          const isLate = ({atMs, gateway}: SentRequest) =>
            gateway === 0 && atMs < 1_000;
          const late = timesOf(sent.filter(isLate));
          const others = timesOf(sent.filter(request => !isLate(request)));
          const bound = maxPerSecond(load.coldPerS);
          expect(mostInOneSecond(others)).toBeLessThanOrEqual(bound);
          expect(mostInOneSecond(timesOf(sent))).toBeLessThanOrEqual(
            Math.max(bound, late.length + 5),
          );
        }
      });
    }
  });

  describe('with gateways that share the upstream in groups', () => {
    it('keeps the bound with 68 gateways in three groups', () => {
      const load = {gateways: 68, parts: 3, coldPerS: 11, lossRate: 0.1};
      const {most, usedShare} = measure({
        ...load,
        steadyPerS: demandFor(11),
        burstRequests: 100,
      });
      expect(most).toBeLessThanOrEqual(maxPerSecond(11));
      expect(usedShare).toBeGreaterThanOrEqual(0.6);
    });
  });

  describe('of one gateway', () => {
    const start = () =>
      createRequestLimits({
        heardShare: () => 1,
        coldRatePerS: (_upstream, nowMs) =>
          nowMs >= 1_000 && nowMs < 4_000 ? 10 : undefined,
        random: createSeededRandom(1),
      });

    it('sends at once before and after the cold time, and not at its start', () => {
      const limits = start();
      expect(limits.waitMs(UPSTREAM, 999)).toEqual(0);
      expect(limits.waitMs(UPSTREAM, 1_000) > 0).toEqual(true);
      expect(limits.waitMs(UPSTREAM, 4_000)).toEqual(0);
    });

    it('keeps the smaller of the stated and the cold rate', () => {
      const limits = start();
      limits.state(UPSTREAM, 1, 1_000);
      expect(limits.waitMs(UPSTREAM, 1_000) >= 1_000).toEqual(true);
      limits.state(UPSTREAM, 500, 1_000);
      expect(limits.waitMs(UPSTREAM, 1_000) >= 100).toEqual(true);
      expect(limits.isLimited(UPSTREAM)).toEqual(true);
      expect(limits.waitMs(UPSTREAM, 4_000)).toEqual(0);
    });

    it('does not end the cold time with a response without a limit', () => {
      const limits = start();
      limits.state(UPSTREAM, 20, 1_000);
      expect(limits.stateNone(UPSTREAM, 1_010)).toEqual(true);
      expect(limits.isLimited(UPSTREAM)).toEqual(false);
      expect(limits.waitMs(UPSTREAM, 1_010) > 0).toEqual(true);
    });
  });
});
