import {describe, it} from 'node:test';
import {createSeededRandom} from '@sardinestile/types';
import {expect} from 'earl';
import {createRequestLimits, type RequestLimits} from '../src/index.js';

const UPSTREAM = {id: 'u', startedAtWallMs: 1};
const WINDOW_MS = 4_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Options for runGateways. */
interface GatewaysOptions {
  seed: number;
  gateways: number;
  limitPerS: number;
  /** Requests a second over all gateways; some of these get ten times as many as others. */
  requestsPerS: number;
  lossRate?: number;
  /** Number of parts that do not hear each other, with equal numbers of gateways. */
  parts?: number;
  /** Gateways that are frozen from 8 s to 12 s. */
  frozen?: number;
}

/** Plays gateways that all know the limit; returns the times of the requests that they send. */
function runGateways(options: GatewaysOptions): number[] {
  const {gateways: count, parts = 1, lossRate = 0, frozen = 0} = options;
  const {next: random} = createSeededRandom(options.seed);
  const partOf = (gateway: number) => gateway % parts;
  const heardShare = 1 / parts;
  const gateways: RequestLimits[] = Array.from({length: count}, () =>
    createRequestLimits({heardShare: () => heardShare}),
  );
  gateways.forEach(limits => limits.state(UPSTREAM, options.limitPerS, 0));
  const weights = gateways.map(() => (random() < 0.3 ? 10 : 1));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const sent: number[] = [];
  let messages: Array<{atMs: number; to: number}> = [];
  for (let nowMs = 0; nowMs < 40_000; nowMs++) {
    const isFrozen = (gateway: number) =>
      gateway < frozen && nowMs >= 8_000 && nowMs < 12_000;
    const due = messages.filter(({atMs, to}) => atMs <= nowMs && !isFrozen(to));
    if (due.length > 0) messages = messages.filter(m => !due.includes(m));
    for (const {to} of due) gateways[to].recordRequest(UPSTREAM, nowMs);
    for (let gateway = 0; gateway < count; gateway++) {
      const rate = (options.requestsPerS * weights[gateway]) / totalWeight;
      if (isFrozen(gateway) || random() >= rate / 1_000) continue;
      if (gateways[gateway].waitMs(UPSTREAM, nowMs) > 0) continue;
      gateways[gateway].recordRequest(UPSTREAM, nowMs);
      sent.push(nowMs);
      for (let to = 0; to < count; to++) {
        if (to === gateway || partOf(to) !== partOf(gateway)) continue;
        if (random() >= lossRate) messages.push({atMs: nowMs + 8, to});
      }
    }
  }
  return sent;
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map(
      start => times.filter(t => t >= start && t < start + WINDOW_MS).length,
    ),
  );
}

/** One and a half times what the limit allows, and five. */
const allowedInWindow = (limitPerS: number) =>
  1.5 * limitPerS * (WINDOW_MS / 1_000) + 5;

describe('createRequestLimits', () => {
  describe('of gateways that hear each other', () => {
    for (const gateways of [1, 4, 12, 68]) {
      for (const limitPerS of [0.5, 1, 5, 20]) {
        it(`shares ${limitPerS} a second among ${gateways} by demand`, () => {
          for (const seed of SEEDS) {
            const requestsPerS = 10 * limitPerS + 10;
            const load = {seed, gateways, limitPerS, requestsPerS};
            const sent = runGateways({...load, lossRate: 0.02});
            expect(mostInWindow(sent) <= allowedInWindow(limitPerS)).toEqual(
              true,
            );
            expect(sent.length >= 0.8 * limitPerS * 40).toEqual(true);
          }
        });
      }
    }

    it('holds with gateways that freeze', () => {
      for (const seed of SEEDS) {
        const load = {gateways: 12, limitPerS: 5, requestsPerS: 60, frozen: 6};
        const sent = runGateways({seed, ...load});
        expect(mostInWindow(sent) <= allowedInWindow(5)).toEqual(true);
      }
    });
  });

  describe('of gateways that are cut off from each other', () => {
    for (const parts of [2, 4, 12]) {
      it(`holds in ${parts} parts`, () => {
        for (const seed of SEEDS) {
          const load = {gateways: 12, limitPerS: 5, requestsPerS: 60};
          const sent = runGateways({seed, ...load, parts});
          expect(mostInWindow(sent) <= allowedInWindow(5)).toEqual(true);
        }
      });
    }
  });

  describe('of one upstream', () => {
    const start = () => createRequestLimits({heardShare: () => 1});

    it('lets no burst through when a limit is stated', () => {
      const limits = start();
      expect(limits.state(UPSTREAM, 1, 0)).toEqual(true);
      expect(limits.waitMs(UPSTREAM, 0)).toEqual(1_000);
      expect(limits.waitMs(UPSTREAM, 1_000)).toEqual(0);
    });

    it('follows a limit that changes', () => {
      const limits = start();
      limits.state(UPSTREAM, 1, 0);
      expect(limits.state(UPSTREAM, 10, 0)).toEqual(true);
      expect(limits.state(UPSTREAM, 10, 1)).toEqual(false);
      expect(limits.waitMs(UPSTREAM, 1) <= 100).toEqual(true);
    });

    it('ends with a response without one to a request that was sent after it was stated', () => {
      const limits = start();
      limits.state(UPSTREAM, 1, 100);
      expect(limits.stateNone(UPSTREAM, 90)).toEqual(false);
      expect(limits.stateNone(UPSTREAM, 110)).toEqual(true);
      expect(limits.waitMs(UPSTREAM, 120)).toEqual(0);
    });

    it('does not end because a peer saw an earlier response', () => {
      const limits = start();
      limits.state(UPSTREAM, 1, 100);
      limits.applyPeer(UPSTREAM, undefined, 200);
      expect(limits.isLimited(UPSTREAM)).toEqual(true);
      limits.applyPeer(UPSTREAM, undefined, 2_000);
      expect(limits.isLimited(UPSTREAM)).toEqual(false);
    });

    it('does not apply to a later start under the same id', () => {
      const limits = start();
      limits.state(UPSTREAM, 1, 0);
      expect(limits.waitMs({...UPSTREAM, startedAtWallMs: 2}, 0)).toEqual(0);
    });

    it('sends a request now and then to an upstream that takes none', () => {
      const limits = start();
      limits.state(UPSTREAM, 0, 0);
      expect(limits.waitMs(UPSTREAM, 0)).toEqual(10_000);
    });
  });
});
