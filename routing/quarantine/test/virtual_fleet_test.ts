import {describe, it} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {
  countLateRequests,
  runVirtualFleet,
  type VirtualFleetOptions,
} from './virtual_fleet.js';

const CONTACT_MS = 3_000;
const MAX_LATE_REQUESTS = 3;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const BASE: Omit<VirtualFleetOptions, 'seed' | 'gateways'> = {
  engines: 12,
  durationMs: 25_000,
  soundPerSecond: 60,
  harmfulPerSecond: 4,
};

describe('a fleet of gateways whose upstreams crash', () => {
  describe('under a prompt part', () => {
    for (const gateways of [1, 4, 12, 68]) {
      it(`stops sending it and blames no other part, with ${gateways} gateways`, () => {
        for (const seed of SEEDS) {
          const result = runVirtualFleet({
            ...BASE,
            seed,
            gateways,
            lossRate: 0.1,
          });
          const late = countLateRequests(result, 'bad', CONTACT_MS);
          expect(late <= MAX_LATE_REQUESTS).toEqual(true);
          expect([...result.falselyBlamed]).toEqual([]);
        }
      });
    }

    it('stops when all crashes come within a second', () => {
      for (const seed of SEEDS) {
        const result = runVirtualFleet({
          ...BASE,
          seed,
          gateways: 12,
          harmfulPerSecond: 20,
        });
        const late = countLateRequests(result, 'bad', CONTACT_MS);
        expect(late <= MAX_LATE_REQUESTS).toEqual(true);
        expect([...result.falselyBlamed]).toEqual([]);
      }
    });

    it('stops when a crash comes every minute', () => {
      const result = runVirtualFleet({
        ...BASE,
        seed: 1,
        gateways: 4,
        durationMs: 500_000,
        soundPerSecond: 10,
        harmfulPerSecond: 1 / 60,
      });
      expect(countLateRequests(result, 'bad', CONTACT_MS)).toEqual(0);
      expect(result.crashTimesMs.get('bad')!.length <= 5).toEqual(true);
    });

    it('stops when the gateways are cut into halves that only the store connects', () => {
      for (const seed of SEEDS) {
        const result = runVirtualFleet({
          ...BASE,
          seed,
          gateways: 8,
          harmfulPerSecond: 2,
          isSplit: true,
        });
        const late = countLateRequests(result, 'bad', CONTACT_MS);
        expect(late <= MAX_LATE_REQUESTS).toEqual(true);
        expect([...result.falselyBlamed]).toEqual([]);
      }
    });

    it('finds several harmful parts at once', () => {
      for (const seed of SEEDS) {
        const parts = ['bad', 'worse'];
        const result = runVirtualFleet({
          ...BASE,
          seed,
          gateways: 4,
          harmfulParts: parts,
        });
        for (const part of parts) {
          const late = countLateRequests(result, part, CONTACT_MS);
          expect(late <= MAX_LATE_REQUESTS).toEqual(true);
        }
        expect([...result.falselyBlamed]).toEqual([]);
      }
    });
  });

  describe('for reasons outside the requests', () => {
    /** Kills 30 to 100% of the upstreams 30 times. */
    const findBlamedParts = (seed: number) => {
      const kills = Array.from({length: 30}, (_, i) => ({
        atMs: 500 + 800 * i,
        share: i % 3 === 0 ? 1 : 0.3,
      }));
      const load = {...BASE, seed, gateways: 4, harmfulPerSecond: 0, kills};
      return [...runVirtualFleet(load).falselyBlamed];
    };

    it('blames no part when many upstreams are killed together', () => {
      for (const seed of SEEDS) expect(findBlamedParts(seed)).toEqual([]);
    });

    for (const seed of [14, 27, 32, 53, 56]) {
      itOrKnownRed(
        `blames no part when many upstreams are killed together, seed ${seed}`,
        () => expect(findBlamedParts(seed)).toEqual([]),
      );
    }
  });
});
