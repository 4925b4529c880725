import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {decideAdmission, type AdmissionRequest} from '../src/index.js';

const TYPICAL: AdmissionRequest = {
  waitMs: 0,
  serviceTimeMs: 150,
  typicalServiceTimeMs: 150,
  targetLatencyMs: 500,
  timeLeftMs: 5_000,
};

const isAdmitted = (change: Partial<AdmissionRequest>) =>
  decideAdmission({...TYPICAL, ...change}).kind === 'admit';

describe('decideAdmission', () => {
  it('admits a request that can meet its target latency', () => {
    expect(isAdmitted({waitMs: 0})).toEqual(true);
    expect(isAdmitted({waitMs: 350})).toEqual(true);
  });

  it('refuses a request that would miss its target latency', () => {
    expect(isAdmitted({waitMs: 900})).toEqual(false);
  });

  it('lets a large request wait as long as a typical one', () => {
    expect(isAdmitted({waitMs: 350, serviceTimeMs: 1_500})).toEqual(true);
  });

  it('refuses a request that cannot be answered before its caller times out', () => {
    expect(isAdmitted({timeLeftMs: 100})).toEqual(false);
  });

  it('tells a refused caller to retry after the burst', () => {
    const decision = decideAdmission({...TYPICAL, waitMs: 1_200});
    expect(decision).toEqual({
      kind: 'refuse',
      retryAfterMs: 1_000,
      allowedWaitMs: 400,
    });
  });

  it('always gives a retry time before the caller times out', () => {
    fc.assert(
      fc.property(
        fc.record({
          waitMs: fc.integer({min: 0, max: 3_000}),
          serviceTimeMs: fc.integer({min: 1, max: 2_000}),
          typicalServiceTimeMs: fc.integer({min: 1, max: 2_000}),
          targetLatencyMs: fc.integer({min: 50, max: 2_000}),
          timeLeftMs: fc.integer({min: 6_000, max: 60_000}),
        }),
        request => {
          const decision = decideAdmission(request);
          if (decision.kind === 'admit') return;
          expect(decision.retryAfterMs > 0).toEqual(true);
          expect(decision.retryAfterMs < request.timeLeftMs).toEqual(true);
        },
      ),
    );
  });

  describe('with shares', () => {
    const share = {excess: 4, coveredPart: 0.25, backlogMs: 0, draw: 0.1};

    it('refuses the part of the requests that the share does not cover', () => {
      expect(isAdmitted({share})).toEqual(true);
      expect(isAdmitted({share: {...share, draw: 0.3}})).toEqual(false);
    });

    it('lets requests beyond the share wait less than others', () => {
      expect(isAdmitted({waitMs: 300, share})).toEqual(false);
      const covered = {...share, coveredPart: 1};
      expect(isAdmitted({waitMs: 300, share: covered})).toEqual(true);
    });

    it('counts work that an urgent request beyond its share would pass', () => {
      expect(isAdmitted({share: {...share, backlogMs: 900}})).toEqual(false);
    });

    it('delays and spreads retries by the excess, within the time left', () => {
      const retryOf = (change: Partial<typeof share>) => {
        const full = {...share, coveredPart: 0, ...change};
        const decision = decideAdmission({...TYPICAL, share: full});
        return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
      };
      expect(retryOf({excess: 1, draw: 0})).toEqual(1_000);
      expect(retryOf({excess: 2, draw: 0})).toEqual(2_000);
      expect(retryOf({excess: 2, draw: 0.5})).toEqual(2_500);
      expect(retryOf({excess: 50, draw: 0.99}) < 5_000).toEqual(true);
      expect(
        retryOf({excess: 50, draw: 0}) < retryOf({excess: 50, draw: 0.9}),
      ).toEqual(true);
    });
  });
});
