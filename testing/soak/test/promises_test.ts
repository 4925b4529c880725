import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  DutyStandIn,
  ReceivedRequest,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {RawResponse} from '@sardinestile/hosting_tests';
import {checkPromises, type SoakCall} from '../src/promises.js';

const REVOKE_MS = 5_000;

const upstreamWith = (...ids: string[]) =>
  [
    {
      received: ids.map(
        requestId => ({requestId, hasRun: true}) as ReceivedRequest,
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

const answerWith = (change: Partial<RawResponse>): RawResponse => ({
  status: 200,
  headers: {'request-id': 'c1'},
  body: 'done',
  isComplete: true,
  ...change,
});

const check = (
  call: SoakCall,
  upstreams: UpstreamStandIn[],
  duties = dutiesWith(),
  withdrawn = new Map<string, number>(),
) => checkPromises([call], upstreams, duties, withdrawn, REVOKE_MS);

describe('checkPromises', () => {
  it('is content with what was kept', () => {
    expect(
      check(callWith({answer: answerWith({})}), upstreamWith('c1')),
    ).toEqual([]);
  });

  const broken: Array<[string, () => string[]]> = [
    ['a second run', () => check(callWith({}), upstreamWith('c1', 'c1'))],
    [
      'a refusal of what ran',
      () =>
        check(
          callWith({answer: answerWith({status: 503})}),
          upstreamWith('c1'),
        ),
    ],
    [
      "another request's answer",
      () =>
        check(
          callWith({answer: answerWith({headers: {'request-id': 'c2'}})}),
          upstreamWith('c1'),
        ),
    ],
    [
      'a changed body',
      () =>
        check(
          callWith({answer: answerWith({body: 'half'})}),
          upstreamWith('c1'),
        ),
    ],
    [
      'a stream that ends early as whole',
      () => {
        const body = 'id: 0\ndata: event 0\n\n';
        return check(
          callWith({kind: 'stream', answer: answerWith({body})}),
          upstreamWith('c1'),
        );
      },
    ],
    [
      'a gap in a stream',
      () => {
        const body = 'id: 0\ndata: event 0\n\nid: 2\ndata: event 2\n\n';
        const answer = answerWith({body, isComplete: false});
        return check(callWith({kind: 'stream', answer}), upstreamWith('c1'));
      },
    ],
    [
      'a run with a withdrawn key',
      () =>
        check(
          callWith({sentAtMs: REVOKE_MS + 1}),
          upstreamWith('c1'),
          dutiesWith(),
          new Map([['k', 0]]),
        ),
    ],
    [
      'two figures for one window',
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
      'two holders of one token',
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
  for (const [name, play] of broken) {
    it(`finds ${name}`, () => expect(play().length).toEqual(1));
  }
});
