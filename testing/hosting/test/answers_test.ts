import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createHostedWorld,
  keyed,
  PATHS,
  type HostedGateway,
  type HostedWorld,
} from '../src/index.js';
import type {UpstreamBehaviour} from '@sardinestile/hosting_stand_ins';

describe('answers of upstreams', () => {
  let world: HostedWorld;
  let front: HostedGateway;
  before(async () => {
    world = await createHostedWorld(2);
    front = await world.startGateway();
  });
  after(() => world.close());

  /** Behaves so at the first upstream that gets the request, and answers at the second. */
  const behaveFirst = (behaviour: UpstreamBehaviour) => {
    let isFirst = true;
    for (const upstream of world.upstreams) {
      upstream.received.length = 0;
      upstream.behave = () => {
        const chosen = isFirst ? behaviour : {kind: 'answer' as const};
        isFirst = false;
        return chosen;
      };
    }
  };
  const runs = () => world.upstreams.flatMap(({received}) => received);

  it('passes a whole answer on unchanged', async () => {
    behaveFirst({kind: 'answer', status: 200, body: 'booked'});
    const answer = await front.call({
      method: 'POST',
      path: PATHS.once,
      headers: keyed('a1'),
      body: 'order',
    });
    expect(answer.status).toEqual(200);
    expect(answer.body).toEqual('booked');
    expect(answer.headers['response-stamp']).toEqual(
      `${world.upstreams.find(u => u.received.length > 0)?.id}.a1`,
    );
    expect(runs()[0].body.toString()).toEqual('order');
  });

  it('passes an upstream failure of a request that may not be repeated on', async () => {
    behaveFirst({kind: 'answer', status: 500, body: 'broken'});
    const path = PATHS.once;
    const answer = await front.call({
      method: 'POST',
      path,
      headers: keyed('a2'),
      body: 'x',
    });
    expect(answer.status).toEqual(500);
    expect(runs().length).toEqual(1);
  });

  describe('an answer that cannot be whole', () => {
    const cases: UpstreamBehaviour[] = [
      {kind: 'resetUnframed'},
      {kind: 'truncate'},
      {kind: 'crossed'},
      {kind: 'reset'},
    ];
    for (const behaviour of cases) {
      it(`${behaviour.kind}: is not passed on, and not repeated where that is not allowed`, async () => {
        behaveFirst(behaviour);
        const path = PATHS.once;
        const headers = keyed(`b-${behaviour.kind}`);
        const answer = await front.call({
          method: 'POST',
          path,
          headers,
          body: 'x',
        });
        expect(answer.status).toEqual(502);
        expect(runs().length).toEqual(1);
      });

      it(`${behaviour.kind}: is asked for again where that is allowed`, async () => {
        behaveFirst(behaviour);
        const headers = keyed(`c-${behaviour.kind}`);
        const answer = await front.call({path: PATHS.idempotent, headers});
        expect(answer.status).toEqual(200);
        expect(answer.body).toEqual('done');
        expect(runs().length).toEqual(2);
      });
    }
  });

  it('gives an answer without a length none of its own', async () => {
    behaveFirst({kind: 'unframed', body: 'perhaps whole'});
    const headers = keyed('f1');
    const answer = await front.call({path: PATHS.idempotent, headers});
    expect(answer.body).toEqual('perhaps whole');
    expect(answer.headers['content-length']).toEqual(undefined);
    expect(answer.headers['transfer-encoding']).toEqual(undefined);
    expect(answer.headers.connection).toEqual('close');
  });

  it('keeps a second answer from the next request', async () => {
    behaveFirst({kind: 'extra'});
    const headers = keyed('d1');
    expect((await front.call({path: PATHS.idempotent, headers})).body).toEqual(
      'done',
    );
    await new Promise(resolve => setTimeout(resolve, 60));
    for (let i = 0; i < 6; i++) {
      const answer = await front.call({
        path: PATHS.idempotent,
        headers: keyed(`d2-${i}`),
      });
      expect(answer.body).toEqual('done');
      expect(answer.headers['request-id']).toEqual(`d2-${i}`);
    }
  });

  it('trusts no rested connection with a request that may not be repeated, once upstreams forgot one', async () => {
    for (const upstream of world.upstreams) {
      upstream.behave = () => ({kind: 'answer'});
      upstream.forgetsAfterMs = 120;
    }
    const statuses: number[] = [];
    for (let i = 0; i < 8; i++) {
      const headers = keyed(`rest${i}`);
      const {status} = await front.call({path: PATHS.once, headers});
      statuses.push(status);
      await new Promise(resolve => setTimeout(resolve, 200));
    }
    const lost = statuses.filter(status => status !== 200);
    expect(lost.length <= 1).toEqual(true);
    for (const upstream of world.upstreams) upstream.forgetsAfterMs = Infinity;
  });

  it('says "not run" when an upstream refused a request that goes nowhere else', async () => {
    for (const upstream of world.upstreams) {
      upstream.behave = () => ({kind: 'refuse'});
    }
    const path = PATHS.once;
    const answer = await front.call({
      method: 'POST',
      path,
      headers: keyed('e1'),
      body: 'x',
    });
    expect(answer.status).toEqual(503);
    expect(Number(answer.headers['retry-after']) > 0).toEqual(true);
  });
});
