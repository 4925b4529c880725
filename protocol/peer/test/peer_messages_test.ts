import {describe, it} from 'node:test';
import {expect} from 'earl';
import {cachedPartsSchema, upstreamChangesSchema} from '../src/index.js';

const UPSTREAM = {
  id: 'u1',
  service: 'pool',
  address: '127.0.0.1:80',
  availabilityZone: 'a',
  places: 8,
  isLeaving: false,
  startedAtWallMs: 0,
};

const changes = (fields: object) => ({
  epoch: 'e',
  position: 1,
  version: 1,
  isWhole: true,
  changed: [{...UPSTREAM, ...fields}],
  removedKeys: [],
  hasLapsed: false,
  ageMs: 0,
});

const cached = (tokens: unknown) => ({
  upstreams: [{upstreamId: 'u1', parts: [['p1', tokens]]}],
});

describe('messages of peers', () => {
  it('are accepted as gateways send them', () => {
    expect(upstreamChangesSchema.safeParse(changes({})).success).toEqual(true);
    expect(cachedPartsSchema.safeParse(cached(5)).success).toEqual(true);
  });

  for (const places of [0, -1, 0.5, 1e308, '8']) {
    it(`are rejected with ${JSON.stringify(places)} places of an upstream`, () => {
      const result = upstreamChangesSchema.safeParse(changes({places}));
      expect(result.success).toEqual(false);
    });
  }

  for (const address of ['', 'nowhere', '127.0.0.1:99999', 'a/b:80']) {
    it(`are rejected with the address '${address}' of an upstream`, () => {
      const result = upstreamChangesSchema.safeParse(changes({address}));
      expect(result.success).toEqual(false);
    });
  }

  for (const tokens of [-1, -1e308, '5', null]) {
    it(`are rejected with ${JSON.stringify(tokens)} tokens of a cached part`, () => {
      expect(cachedPartsSchema.safeParse(cached(tokens)).success).toEqual(
        false,
      );
    });
  }
});
