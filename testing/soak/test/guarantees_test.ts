import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  DutyStandIn,
  ReceivedRequest,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {RawResponse} from '@sardinestile/hosting_tests';
import {checkGuarantees, type SoakCall} from '../src/guarantees.js';

const REVOCATION_LIMIT_MS = 5_000;

const upstreamWith = (...ids: string[]) =>
  [
    {
      received: ids.map(
        requestId => ({requestId, wasProcessed: true}) as ReceivedRequest,
      ),
    },
  ] as UpstreamStandIn[];

const dutiesWith = (...accepted: DutyStandIn['accepted']) =>
  ({accepted}) as DutyStandIn;

const callWith = (change: Partial<SoakCall>): SoakCall => ({
  id: 'c1',
  kind: 'once',
  key: 'k',
  gateway: 'front-1',
  sentAtMs: 0,
  ...change,
});

const responseWith = (change: Partial<RawResponse>): RawResponse => ({
  status: 200,
  headers: {'request-id': 'c1'},
  body: 'done',
  isComplete: true,
  wasReset: false,
  ...change,
});

const check = (
  call: SoakCall,
  upstreams: UpstreamStandIn[],
  duties = dutiesWith(),
  revokedKeys = new Map<string, number>(),
) =>
  checkGuarantees([call], upstreams, duties, revokedKeys, REVOCATION_LIMIT_MS);

describe('checkGuarantees', () => {
  it('returns nothing when all guarantees hold', () => {
    expect(
      check(callWith({response: responseWith({})}), upstreamWith('c1')),
    ).toEqual([]);
  });

  const failures: Array<[string, () => string[]]> = [
    ['a second run', () => check(callWith({}), upstreamWith('c1', 'c1'))],
    [
      'a refusal of a request that ran',
      () =>
        check(
          callWith({response: responseWith({status: 503})}),
          upstreamWith('c1'),
        ),
    ],
    [
      'the response to another request',
      () =>
        check(
          callWith({response: responseWith({headers: {'request-id': 'c2'}})}),
          upstreamWith('c1'),
        ),
    ],
    [
      'a wrong body',
      () =>
        check(
          callWith({response: responseWith({body: 'half'})}),
          upstreamWith('c1'),
        ),
    ],
    [
      'a stream that ends early as complete',
      () => {
        const body = 'id: 0\ndata: event 0\n\n';
        return check(
          callWith({kind: 'stream', response: responseWith({body})}),
          upstreamWith('c1'),
        );
      },
    ],
    [
      'a gap in a stream',
      () => {
        const body = 'id: 0\ndata: event 0\n\nid: 2\ndata: event 2\n\n';
        const response = responseWith({body, isComplete: false});
        return check(callWith({kind: 'stream', response}), upstreamWith('c1'));
      },
    ],
    [
      'a run with a revoked key',
      () =>
        check(
          callWith({sentAtMs: REVOCATION_LIMIT_MS + 1}),
          upstreamWith('c1'),
          dutiesWith(),
          new Map([['k', 0]]),
        ),
    ],
    [
      'two different counts for one window',
      () => {
        const report = {path: '/usage', holder: 'a', fencingToken: 1};
        return check(
          callWith({}),
          upstreamWith(),
          dutiesWith(
            {...report, body: {window_seq: 1, counts: {o: 1}}},
            {...report, body: {window_seq: 1, counts: {o: 2}}},
          ),
        );
      },
    ],
    [
      'two holders of one fencing token',
      () => {
        const report = {path: '/usage', fencingToken: 1, body: {}};
        return check(
          callWith({}),
          upstreamWith(),
          dutiesWith({...report, holder: 'a'}, {...report, holder: 'b'}),
        );
      },
    ],
  ];
  for (const [name, runCheck] of failures) {
    it(`reports ${name}`, () => expect(runCheck().length).toEqual(1));
  }
});
