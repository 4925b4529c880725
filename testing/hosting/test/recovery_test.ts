import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createHostedWorld,
  keyed,
  PATHS,
  waitFor,
  type HostedWorld,
} from '../src/index.js';

/** Versions of a quick succession. */
const STORM = 40;

describe('a fleet that ends and comes back', () => {
  let world: HostedWorld;
  before(async () => {
    world = await createHostedWorld(2);
  });
  after(() => world.close());

  it('goes on with what was acknowledged right before every process ended', async () => {
    const first = await world.startGateway();
    const second = await world.startGateway();
    world.configure(config => {
      config.tenants[0].api_keys = ['key-last'];
    });
    await Promise.all([first.gateway.close(), second.gateway.close()]);
    const next = await world.startGateway();
    const withdrawn = await next.call({
      path: PATHS.idempotent,
      headers: keyed('e1'),
    });
    expect(withdrawn.status).toEqual(401);
    const allowed = await next.call({
      path: PATHS.idempotent,
      headers: keyed('e2', {Authorization: 'Bearer key-last'}),
    });
    expect(allowed.status).toEqual(200);
  });

  it('has the last version of a quick succession in force, and none before an earlier one', async () => {
    const front = await world.startGateway();
    let version = 0;
    for (let change = 0; change < STORM; change++) {
      version = world.configure();
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    const applied = () =>
      front.logs
        .map(line => /config_applied version=(\d+)/.exec(line)?.[1])
        .filter(text => text !== undefined)
        .map(Number);
    await waitFor('the last version', () => applied().at(-1) === version);
    expect(applied()).toEqual([...applied()].sort((a, b) => a - b));
    // A row of an earlier version, as a restored store would hold it.
    const early = world.configure(config => (config.version = 1));
    await new Promise(resolve => setTimeout(resolve, 500));
    const after = world.configure(config => (config.version = version));
    await waitFor('the newest version', () => applied().at(-1) === after);
    expect(applied()).not.toInclude(early);
  });
});

describe('an address that comes to belong to another upstream', () => {
  let world: HostedWorld;
  before(async () => {
    world = await createHostedWorld(0);
  });
  after(() => world.close());

  it('gets requests that name the upstream they are meant for, and moves no request elsewhere', async () => {
    const upstream = await world.addUpstream('old');
    const front = await world.startGateway();
    // The address now belongs to another upstream, which says so.
    upstream.behave = ({headers}) =>
      headers['expect-instance'] === 'new'
        ? {kind: 'answer'}
        : {kind: 'misdirect'};
    const call = (id: string) =>
      front.call({path: PATHS.once, headers: keyed(id)});
    expect((await call('a1')).status).toEqual(503);
    expect(upstream.received.some(({hasRun}) => hasRun)).toEqual(false);
    world.store.putJson('servers', 'new', {
      service: 'pool',
      address: upstream.address,
      zone: 'a',
      slots: 8,
      state: 'ready',
      born: Date.now(),
    });
    await waitFor('the new upstream to be used', async () => {
      return (await call(`a${Math.random()}`)).status === 200;
    });
  });
});

describe('entries of gateways', () => {
  let world: HostedWorld;
  before(async () => {
    world = await createHostedWorld(1);
  });
  after(() => world.close());

  it('are removed once they were not renewed for an hour', async () => {
    const hourMs = 3_600_000;
    const put = (name: string, renewedAtMs: number) => {
      const value = {host: '127.0.0.1', port: 1, renewedAtMs};
      const row = {table: 'system', part: 'p', key: `gateway/${name}`};
      const bytes = Buffer.from(JSON.stringify(value));
      store.transact({puts: [{...row, value: bytes.toString('base64')}]});
    };
    const {store} = world;
    put('gone', Date.now() - hourMs - 1_000);
    put('late', Date.now() - hourMs / 2);
    const front = await world.startGateway();
    const names = () =>
      store
        .rows('system', 'p')
        .map(({key}) => key)
        .filter(key => key.startsWith('gateway/'));
    await waitFor('the entry to go', () => !names().includes('gateway/gone'));
    await waitFor('the entry of the gateway itself', () =>
      names().includes(`gateway/${front.instance}`),
    );
    expect(names()).toInclude('gateway/late');
  });
});
