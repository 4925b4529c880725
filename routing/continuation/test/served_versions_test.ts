import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  mergeRecentValues,
  namedVersions,
  onlyServedVersion,
  servedVersionsCodec,
  STREAM_LIFETIME_MS,
  type RecentValues,
  type ValueUpdate,
} from '../src/index.js';

const START_MS = 1_700_000_000_000;
const GENERATION = 1;

/** Time after which a version can have begun no stream that is still resumed. */
const FORGOTTEN_AFTER_MS = 2 * STREAM_LIFETIME_MS;

const pool = (...versions: Array<string | undefined>) =>
  namedVersions(
    versions.map(softwareVersion => ({service: 'pool', softwareVersion})),
  );

const observe = (fields: Partial<ValueUpdate>): ValueUpdate => ({
  seen: [],
  generation: GENERATION,
  nowMs: START_MS,
  isFirstStart: false,
  known: undefined,
  ...fields,
});

const stored = (versions: Record<string, number>): RecentValues => ({
  generation: GENERATION,
  completeSinceMs: 0,
  values: new Map([['pool', new Map(Object.entries(versions))]]),
});

const versionsOfPool = (served: RecentValues | undefined) => [
  ...(served?.values.get('pool')?.keys() ?? []),
];

describe('mergeRecentValues', () => {
  it('keeps a version that is no longer registered', () => {
    const next = mergeRecentValues(
      stored({v1: START_MS - 1_000}),
      observe({seen: pool('v2')}),
    );
    expect(versionsOfPool(next)).toEqual(['v1', 'v2']);
  });

  it('changes nothing while all registered versions are recorded', () => {
    const seen = pool('v1', 'v1');
    const row = stored({v1: START_MS - 1_000});
    expect(mergeRecentValues(row, observe({seen}))).toEqual(undefined);
  });

  it('removes a version once no stream of it can be resumed', () => {
    const next = mergeRecentValues(
      stored({v1: START_MS - FORGOTTEN_AFTER_MS}),
      observe({seen: pool('v2')}),
    );
    expect(versionsOfPool(next)).toEqual(['v2']);
  });

  it('restores versions that a restore of the store has lost', () => {
    const known = stored({v1: START_MS - 1_000, v2: START_MS - 1_000});
    const next = mergeRecentValues(
      stored({v1: START_MS - 1_000}),
      observe({generation: GENERATION + 1, known}),
    );
    expect(next?.generation).toEqual(GENERATION + 1);
    expect(versionsOfPool(next)).toEqual(['v1', 'v2']);
    expect(next?.completeSinceMs).toEqual(0);
  });

  it('is not complete after a restore of which no gateway knows the time before', () => {
    const next = mergeRecentValues(
      stored({v1: START_MS - 1_000}),
      observe({generation: GENERATION + 1, seen: pool('v1')}),
    );
    expect(next?.completeSinceMs).toEqual(START_MS);
  });

  it('is complete from the beginning only if the fleet starts for the first time', () => {
    const seen = pool('v1');
    const first = mergeRecentValues(
      undefined,
      observe({seen, isFirstStart: true}),
    );
    expect(first?.completeSinceMs).toEqual(0);
    const later = mergeRecentValues(undefined, observe({seen}));
    expect(later?.completeSinceMs).toEqual(START_MS);
  });
});

describe('versions of services with odd names', () => {
  for (const service of ['__proto__', 'constructor', 'toString', '']) {
    // Guards against a registration that changes all objects of the process.
    it(`are recorded for ${JSON.stringify(service)}, and change no other object`, () => {
      const seen = namedVersions([{service, softwareVersion: '__proto__'}]);
      const next = mergeRecentValues(undefined, observe({seen}));
      expect(Object.keys(Object.prototype)).toEqual([]);
      expect({}).toEqual({});
      const read = servedVersionsCodec.decode(
        servedVersionsCodec.encode(next!),
      );
      expect(mergeRecentValues(read, observe({seen}))).toEqual(undefined);
      expect([...read.values].map(([name]) => name)).toEqual([service]);
      const restarted = {...read, completeSinceMs: 0};
      expect(onlyServedVersion(restarted, service, observe({}))).toEqual(
        '__proto__',
      );
    });
  }
});

describe('onlyServedVersion', () => {
  const onlyVersion = (
    row: RecentValues | undefined,
    fields: Partial<ValueUpdate>,
  ) => onlyServedVersion(row, 'pool', observe(fields));

  it('is the version of all upstreams that served lately', () => {
    const row = stored({v1: START_MS - 1_000});
    expect(onlyVersion(row, {seen: pool('v1')})).toEqual('v1');
    expect(onlyVersion(row, {seen: []})).toEqual('v1');
  });

  it('is not certain beside a version that is registered or served lately', () => {
    const row = stored({v1: START_MS - 1_000});
    expect(onlyVersion(row, {seen: pool('v2')})).toEqual(undefined);
    const both = stored({v1: START_MS - STREAM_LIFETIME_MS, v2: START_MS});
    expect(onlyVersion(both, {seen: pool('v2')})).toEqual(undefined);
  });

  it('is not certain of upstreams that state no version', () => {
    const row = stored({'': START_MS});
    expect(onlyVersion(row, {seen: pool(undefined)})).toEqual(undefined);
  });

  it('is not certain after a restore that was not recorded, nor soon after the first record', () => {
    const row = stored({v1: START_MS});
    const restored = {seen: pool('v1'), generation: GENERATION + 1};
    expect(onlyVersion(row, restored)).toEqual(undefined);
    const fresh = {...row, completeSinceMs: START_MS - STREAM_LIFETIME_MS};
    expect(onlyVersion(fresh, {seen: pool('v1')})).toEqual(undefined);
  });
});
