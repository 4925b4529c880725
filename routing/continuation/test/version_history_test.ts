import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createStreamOrigins,
  createVersionHistory,
  STREAM_LIFETIME_MS,
  type VersionHistory,
} from '../src/index.js';

const STEP_MS = 1_000;

describe('createVersionHistory', () => {
  let history: VersionHistory;
  let nowMs: number;
  beforeEach(() => {
    history = createVersionHistory();
    nowMs = 5_000;
  });
  /** Observes upstreams of the service `pool` with these versions, once a second. */
  const observeFor = (
    durationMs: number,
    ...versions: Array<string | undefined>
  ) => {
    for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
      history.observe(
        versions.map(softwareVersion => ({service: 'pool', softwareVersion})),
        nowMs,
      );
    }
  };
  /** Returns the only version for streams that were resumed when the list was last read. */
  const onlyVersion = () => history.onlyVersion('pool', nowMs - STEP_MS);

  it('is sure of the only version after the lifetime of a stream', () => {
    observeFor(STREAM_LIFETIME_MS - STEP_MS, 'v1', 'v1');
    expect(onlyVersion()).toEqual(undefined);
    observeFor(2 * STEP_MS, 'v1');
    expect(onlyVersion()).toEqual('v1');
  });

  it('is not sure while two versions serve, nor for the lifetime of a stream afterwards', () => {
    observeFor(STREAM_LIFETIME_MS, 'v1');
    observeFor(STEP_MS, 'v1', 'v2');
    expect(onlyVersion()).toEqual(undefined);
    observeFor(STREAM_LIFETIME_MS, 'v2');
    expect(onlyVersion()).toEqual(undefined);
    observeFor(2 * STEP_MS, 'v2');
    expect(onlyVersion()).toEqual('v2');
  });

  it('is not sure after a time without observations', () => {
    observeFor(2 * STREAM_LIFETIME_MS, 'v1');
    nowMs += 10_000;
    expect(onlyVersion()).toEqual(undefined);
    observeFor(STEP_MS, 'v1');
    expect(onlyVersion()).toEqual(undefined);
  });

  it('is not sure for a stream that was resumed after the list was last read', () => {
    // A version that registers after the list was read may have begun the stream.
    observeFor(2 * STREAM_LIFETIME_MS, 'v1');
    expect(onlyVersion()).toEqual('v1');
    expect(history.onlyVersion('pool', nowMs)).toEqual(undefined);
    history.observe([{service: 'pool', softwareVersion: 'v1'}], nowMs);
    expect(history.onlyVersion('pool', nowMs)).toEqual('v1');
  });

  it('is not sure after a list of before the one that was observed last', () => {
    observeFor(2 * STREAM_LIFETIME_MS, 'v1');
    history.observe(
      [{service: 'pool', softwareVersion: 'v1'}],
      nowMs - 10 * STEP_MS,
    );
    observeFor(2 * STEP_MS, 'v1');
    expect(onlyVersion()).toEqual(undefined);
  });

  it('is not sure of upstreams that state no version', () => {
    observeFor(2 * STREAM_LIFETIME_MS, undefined);
    expect(onlyVersion()).toEqual(undefined);
    observeFor(2 * STREAM_LIFETIME_MS, 'v1', undefined);
    expect(onlyVersion()).toEqual(undefined);
  });
});

describe('createStreamOrigins', () => {
  it('keeps what wrote the first event, for the lifetime of a stream', () => {
    const beganAtMs = 1;
    const origins = createStreamOrigins();
    const origin = {service: 'pool', softwareVersion: 'v1'};
    const other = {service: 'other', softwareVersion: 'v2'};
    origins.record('r', {...other, softwareVersion: undefined}, beganAtMs);
    origins.record('r', origin, beganAtMs);
    origins.record('r', other, beganAtMs + 5);
    expect(origins.originOf('r', beganAtMs + 10)).toEqual({
      ...origin,
      ageMs: 10,
    });
    expect(origins.originOf('s', beganAtMs + 10)).toEqual(undefined);
    const lateMs = beganAtMs + STREAM_LIFETIME_MS + 1;
    expect(origins.originOf('r', lateMs)).toEqual(undefined);
  });
});
