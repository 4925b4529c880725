import {describe, it} from 'node:test';
import type {
  ReceivedRequest,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {RawResponse} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import type {SoakCall} from '../src/guarantees.js';
import {
  checkLostRequests,
  type LossObservations,
} from '../src/lost_requests.js';

const CUT_OFF: RawResponse = {
  status: 200,
  headers: {},
  body: 'half',
  isComplete: false,
  wasReset: false,
};

const SIGTERM_AT_MS = 10_000;

const callWith = (change: Partial<SoakCall> = {}): SoakCall => ({
  id: 'c1',
  kind: 'stream',
  key: 'k',
  gateway: 'front-1',
  sentAtMs: SIGTERM_AT_MS - 100,
  sentWholeAtMs: SIGTERM_AT_MS - 100,
  endedAtMs: SIGTERM_AT_MS + 500,
  response: CUT_OFF,
  ...change,
});

const upstreamWith = (
  change: Partial<ReceivedRequest> = {},
  crashedAtMs?: number,
) =>
  ({
    id: 'u1',
    crashedAtMs,
    received: [{requestId: 'c1', wasProcessed: true, ...change}],
  }) as unknown as UpstreamStandIn;

const sigterm = {
  gateway: 'front-1',
  signal: 'SIGTERM',
  atMs: SIGTERM_AT_MS,
} as const;

const count = (observed: Partial<LossObservations>) =>
  checkLostRequests({
    calls: [callWith()],
    upstreams: [upstreamWith()],
    disturbances: [],
    plannedSignals: [sigterm],
    ...observed,
  }).length;

const disturbance = (gateway: string | undefined, untilMs: number) => ({
  disturbances: [{gateway, fromMs: untilMs - 500, untilMs}],
});

const notRun = (cutOffAfterMs: number) => ({
  upstreams: [],
  calls: [callWith({endedAtMs: SIGTERM_AT_MS - 100 + cutOffAfterMs})],
});

/** A request that was not run, whose connection was last known to be open so long after it was sent. */
const notRunOpenFor = (openMs: number) => ({
  upstreams: [],
  calls: [callWith({openUntilMs: SIGTERM_AT_MS - 100 + openMs})],
});

/** A request that is cut off 7.5 s after SIGTERM, which an upstream ran until `untilMs`. */
const cutAtEnd = (sentAfterMs: number, untilMs: number) => ({
  calls: [
    callWith({
      sentAtMs: SIGTERM_AT_MS + sentAfterMs,
      endedAtMs: SIGTERM_AT_MS + 7_500,
    }),
  ],
  upstreams: [upstreamWith({endedAtMs: SIGTERM_AT_MS + untilMs})],
});

const cases: Array<[string, Partial<LossObservations>]> = [
  ['was run and cut off after SIGTERM', {}],
  [
    'was run and never answered',
    {calls: [callWith({hasTimedOut: true, response: undefined})]},
  ],
  ['was run by two upstreams', {upstreams: [upstreamWith(), upstreamWith()]}],
  ['was not run and cut off late', notRun(300)],
  [
    'was not run and cut off late, which was noticed later still',
    notRunOpenFor(210),
  ],
  [
    'was not run and never answered',
    {
      upstreams: [],
      calls: [callWith({hasTimedOut: true, response: undefined})],
    },
  ],
  [
    'was cut off after SIGHUP',
    {plannedSignals: [{...sigterm, signal: 'SIGHUP'}]},
  ],
  [
    'was cut off beside a disturbance that is planned work',
    {
      disturbances: [{fromMs: 9_000, untilMs: 11_000, isPlanned: true}],
    },
  ],
  [
    'was cut off beside a disturbance of another gateway',
    disturbance('front-2', SIGTERM_AT_MS),
  ],
  [
    'was cut off longer than contact after a disturbance',
    disturbance('front-1', SIGTERM_AT_MS - 3_200),
  ],
  [
    'was sent early and cut off when the upstream had long answered',
    cutAtEnd(2_900, 5_000),
  ],
  ['was accepted too late to be finished', cutAtEnd(3_100, 7_500)],
  [
    'was cut off while an upstream that it did not reach crashed',
    {
      upstreams: [
        upstreamWith(),
        {id: 'u2', crashedAtMs: SIGTERM_AT_MS, received: []} as never,
      ],
    },
  ],
];

const excused: Array<[string, Partial<LossObservations>]> = [
  [
    'was answered',
    {calls: [callWith({response: {...CUT_OFF, isComplete: true}})]},
  ],
  ['is still open', {calls: [callWith({endedAtMs: undefined})]}],
  ['ended before the signal', {plannedSignals: [{...sigterm, atMs: 10_600}]}],
  [
    'was sent long after the signal',
    {plannedSignals: [{...sigterm, atMs: 800}]},
  ],
  [
    'was sent after SIGHUP was applied',
    {plannedSignals: [{...sigterm, signal: 'SIGHUP', atMs: 7_800}]},
  ],
  [
    'met planned work of another gateway only',
    {plannedSignals: [{...sigterm, gateway: 'front-2'}]},
  ],
  ['met a disturbance', disturbance('front-1', SIGTERM_AT_MS + 200)],
  ['met a disturbance of all', disturbance(undefined, SIGTERM_AT_MS + 200)],
  [
    'was sent within contact of a disturbance',
    disturbance('front-1', SIGTERM_AT_MS - 3_000),
  ],
  [
    'its upstream broke off',
    {upstreams: [upstreamWith({behaviour: 'truncate'})]},
  ],
  [
    'its upstream crashed',
    {upstreams: [upstreamWith({}, SIGTERM_AT_MS + 400)]},
  ],
  [
    'reached the timeout of its route',
    {calls: [callWith({sentAtMs: 5_000, endedAtMs: SIGTERM_AT_MS + 10})]},
  ],
  ['crossed the close and was not run', notRun(150)],
  [
    'crossed the close, which was noticed late, and was not run',
    notRunOpenFor(190),
  ],
  [
    'crossed the close, was not run and read its end late',
    {
      upstreams: [],
      calls: [callWith({readFromMs: SIGTERM_AT_MS + 490})],
    },
  ],
  [
    'was not sent whole and not run',
    {upstreams: [], calls: [callWith({sentWholeAtMs: undefined})]},
  ],
  [
    'ran in the last sixth of the grace period and was sent early',
    cutAtEnd(2_900, 7_500),
  ],
];

describe('checkLostRequests', () => {
  for (const [name, observed] of cases) {
    it(`reports a request that ${name}`, () =>
      expect(count(observed)).toEqual(1));
  }
  for (const [name, observed] of excused) {
    it(`excuses a request that ${name}`, () =>
      expect(count(observed)).toEqual(0));
  }
});
