import {describe, it} from 'node:test';
import type {
  ReceivedRequest,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {checkFleetBounds, type FleetObservations} from '../src/fleet_bounds.js';
import type {SoakCall} from '../src/guarantees.js';

const requestAt = (requestId: string, receivedAtMs: number, part = 'bad') =>
  ({
    requestId,
    receivedAtMs,
    headers: {'prompt-prefix': `aa:1,${part}:1,own:1`},
  }) as unknown as ReceivedRequest;

const upstreamWith = (change: Partial<UpstreamStandIn>) =>
  ({id: 'u', received: [], ...change}) as UpstreamStandIn;

const callWith = (id: string, change: Partial<SoakCall> = {}): SoakCall => ({
  id,
  kind: 'stream',
  key: 'k',
  gateway: 'front-1',
  sentAtMs: 0,
  ...change,
});

const check = (observed: Partial<FleetObservations>) =>
  checkFleetBounds({
    calls: [],
    upstreams: [],
    disturbances: [],
    harmfulParts: [],
    harmfulBodies: [],
    limits: [],
    ...observed,
  });

const numbersBelow = (count: number) =>
  Array.from({length: count}, (_, i) => i);

describe('checkFleetBounds', () => {
  describe('of a harmful part', () => {
    const crashed = numbersBelow(5).map(i =>
      upstreamWith({crashedAtMs: i * 100, crashedBy: requestAt(`x${i}`, 0)}),
    );
    const late = (count: number, atMs: number) =>
      upstreamWith({
        received: numbersBelow(count).map(i => requestAt(`c${i}`, atMs)),
      });
    const observe = (count: number, atMs: number, fromMs = -1_000) =>
      check({
        calls: numbersBelow(count).map(i => callWith(`c${i}`)),
        upstreams: [...crashed, late(count, atMs)],
        harmfulParts: ['bad'],
        disturbances: [{gateway: 'front-1', fromMs, untilMs: fromMs + 500}],
      });

    it('reports more than three requests later than contact after the fifth crash', () => {
      expect(observe(4, 3_500).length).toEqual(1);
      expect(observe(3, 3_500)).toEqual([]);
      expect(observe(4, 3_300)).toEqual([]);
    });

    it('excuses gateways that were disturbed', () => {
      expect(observe(4, 3_500, 1_000)).toEqual([]);
    });
  });

  describe('of a harmful request', () => {
    const withBody = (id: string, atMs: number) =>
      ({...requestAt(id, atMs), body: Buffer.from('bad request 0')}) as never;
    const crashed = numbersBelow(3).map(i =>
      upstreamWith({crashedAtMs: i * 100, crashedBy: withBody(`x${i}`, 0)}),
    );
    const observe = (count: number) =>
      check({
        calls: numbersBelow(count).map(i => callWith(`c${i}`)),
        upstreams: [
          ...crashed,
          upstreamWith({
            received: numbersBelow(count).map(i => withBody(`c${i}`, 3_300)),
          }),
        ],
        harmfulBodies: ['bad request 0'],
      });

    it('reports more than three arrivals later than contact after the third crash', () => {
      expect(observe(4).length).toEqual(1);
      expect(observe(3)).toEqual([]);
    });
  });

  describe('of streams that are taken up', () => {
    const responseWith = (status: number, ...versions: string[]) => ({
      status,
      headers: {},
      body: versions
        .map(
          (version, id) =>
            `event: ${version}\nid: ${id}\ndata: event ${id}\n\n`,
        )
        .join(''),
      isComplete: true,
      wasReset: false,
    });
    const resumable = (id: string, change: Partial<SoakCall>) =>
      callWith(id, {kind: 'resumable', sentAtMs: 100, ...change});
    const resumes = (status: number, version = 'v1') =>
      numbersBelow(12).map(i =>
        resumable(`c${i}r`, {
          resumes: resumable(`c${i}`, {response: responseWith(200, 'v1')}),
          response: responseWith(status, version),
        }),
      );
    const upstreams = numbersBelow(2).map(() =>
      upstreamWith({softwareVersion: 'v1', startedAtMs: 0, leftAtMs: Infinity}),
    );

    it('reports more than two that hold events of two versions', () => {
      const calls = resumes(200, 'v2');
      expect(check({calls: calls.slice(0, 3)}).length).toEqual(1);
      expect(check({calls: calls.slice(0, 2)})).toEqual([]);
    });

    it('reports that fewer than half go on while two upstreams of their version run', () => {
      const begun = resumable('new', {response: responseWith(200, 'v1')});
      const calls = [begun, ...resumes(503)];
      expect(check({calls, upstreams}).length).toEqual(1);
      expect(check({calls, upstreams: upstreams.slice(1)})).toEqual([]);
      expect(check({calls: [begun, ...resumes(200)], upstreams})).toEqual([]);
    });
  });

  describe('of a stated limit', () => {
    const told = callWith('told', {
      endedAtMs: 100,
      response: {
        status: 200,
        headers: {'response-stamp': 'u.told', 'server-limit': '1'},
        body: '',
        isComplete: true,
        wasReset: false,
      },
    });
    const observe = (count: number, calls: SoakCall[]) =>
      check({
        calls: [...calls, ...numbersBelow(count).map(i => callWith(`c${i}`))],
        upstreams: [
          upstreamWith({
            received: numbersBelow(count).map(i =>
              requestAt(`c${i}`, 4_000 + i),
            ),
          }),
        ],
        limits: [
          {upstreamId: 'u', requestsPerS: 1, fromMs: 0, untilMs: 10_000},
        ],
      });

    it('reports more than one and a half times the limit and five', () => {
      expect(observe(12, [told]).length).toEqual(1);
      expect(observe(11, [told])).toEqual([]);
    });

    it('counts only gateways that passed on a response with the limit', () => {
      expect(observe(12, [])).toEqual([]);
    });
  });
});
