import {after, before, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';
import {
  createHostedWorld,
  keyed,
  PATHS,
  waitFor,
  type HostedGateway,
  type HostedWorld,
  type RawAnswer,
} from '../src/index.js';

/** Ids of the whole events of an answer, in order. */
function eventIds({body}: RawAnswer): number[] {
  return [...body.matchAll(/id: (\d+)\ndata: event \d+\n\n/g)].map(match =>
    Number(match[1]),
  );
}

const numbersTo = (count: number) => Array.from({length: count}, (_, i) => i);

describe('streams', () => {
  let world: HostedWorld;
  let front: HostedGateway;
  before(async () => {
    world = await createHostedWorld(2);
    front = await world.startGateway();
  });
  beforeEach(() => {
    for (const upstream of world.upstreams) upstream.received.length = 0;
  });
  after(() => world.close());

  /** Behaves so at the first upstream that gets a request, and streams whole at others. */
  const behaveFirst = (behaviour: UpstreamBehaviour, events = 10) => {
    let isFirst = true;
    for (const upstream of world.upstreams) {
      upstream.behave = () => {
        const chosen = isFirst ? behaviour : {kind: 'stream' as const, events};
        isFirst = false;
        return chosen;
      };
    }
  };
  const runs = () => world.upstreams.flatMap(({received}) => received);
  const call = (path: string, id: string, more = {}) =>
    front.call({method: 'POST', path, headers: keyed(id), body: 'x', ...more});

  it('passes events on in order and ends with the upstream', async () => {
    behaveFirst({kind: 'stream', events: 10});
    const answer = await call(PATHS.stream, 's1');
    expect(answer.isWhole).toEqual(true);
    expect(eventIds(answer)).toEqual(numbersTo(10));
  });

  describe('that break off', () => {
    const breaks: Array<[string, UpstreamBehaviour]> = [
      ['within an event', {kind: 'stream', events: 10, breakAfter: 4}],
      ['before the first event', {kind: 'stream', events: 10, breakAfter: -1}],
      ['by silence', {kind: 'stream', events: 10, silentAfter: 4}],
      ['by an error', {kind: 'answer', status: 500}],
      [
        'by silence after the last event',
        {kind: 'stream', events: 10, silentAfter: 9},
      ],
    ];
    for (const [name, behaviour] of breaks) {
      it(`${name}: go on at another upstream without a gap or a repeat`, async () => {
        behaveFirst(behaviour);
        const answer = await call(
          PATHS.resumable,
          `r-${name.replaceAll(' ', '-')}`,
        );
        expect(answer.isWhole).toEqual(true);
        expect(eventIds(answer)).toEqual(numbersTo(10));
        expect(runs().length).toEqual(2);
      });
    }

    it('end openly where they cannot be resumed', async () => {
      behaveFirst({kind: 'stream', events: 10, breakAfter: 4});
      const answer = await call(PATHS.stream, 'n1');
      expect(answer.isWhole).toEqual(false);
      expect(eventIds(answer)).toEqual(numbersTo(5));
      expect(runs().length).toEqual(1);
    });

    it('stop at the upstream before they go on elsewhere', async () => {
      behaveFirst({kind: 'stream', events: 10, silentAfter: 4});
      await call(PATHS.resumable, 't1');
      const isCut = () => runs().some(({wasCut}) => wasCut);
      await waitFor('the silent run to be cut', isCut, 400);
    });
  });

  it('pass an event on once where an upstream repeats it', async () => {
    behaveFirst({kind: 'streamIds', ids: [0, 1, 1, 0, 2, 3]});
    const answer = await call(PATHS.stream, 'o1');
    expect(answer.isWhole).toEqual(true);
    expect(eventIds(answer)).toEqual(numbersTo(4));
  });

  it('break off openly where an event is missing', async () => {
    behaveFirst({kind: 'streamIds', ids: [0, 1, 3, 4]});
    const answer = await call(PATHS.stream, 'o2');
    expect(answer.isWhole).toEqual(false);
    expect(eventIds(answer)).toEqual(numbersTo(2));
  });

  it('keep the headers of their first upstream when they go on elsewhere', async () => {
    behaveFirst({kind: 'stream', events: 10, breakAfter: 4});
    const answer = await call(PATHS.resumable, 'h1');
    const first = world.upstreams.find(({received}) =>
      received.some(({wasCut}) => wasCut),
    );
    expect(answer.headers['response-stamp']).toEqual(`${first?.id}.h1`);
  });

  it('go on after what the caller already has', async () => {
    behaveFirst({kind: 'stream', events: 10});
    const headers = keyed('l1', {'Last-Event-Id': '6'});
    const answer = await call(PATHS.resumable, 'l1', {headers});
    expect(eventIds(answer)).toEqual([7, 8, 9]);
  });

  it('stop at the upstream within half a second after their caller left', async () => {
    behaveFirst({kind: 'stream', events: 1_000, gapMs: 20});
    const left = call(PATHS.stream, 'g1', {leaveAfterMs: 150});
    await left;
    const [run] = runs();
    await waitFor('the run to be cut', () => run.wasCut, 500);
  });

  it('end when the time of their route is over', async () => {
    const version = world.configure(config => {
      const route = config.routes.find(({name}) => name === 'stream');
      route!.timeout_ms = 400;
    });
    await waitFor('the time-out', () =>
      front.logs.some(line =>
        line.includes(`config_applied version=${version}`),
      ),
    );
    behaveFirst({kind: 'stream', events: 1_000, gapMs: 20});
    const startedMs = performance.now();
    const answer = await call(PATHS.stream, 'o1');
    expect(answer.isWhole).toEqual(false);
    expect(performance.now() - startedMs < 900).toEqual(true);
  });
});
