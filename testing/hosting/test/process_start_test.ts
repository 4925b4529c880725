import {after, afterEach, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createStoreState,
  startStoreListener,
  startUpstreamStandIn,
  type StandInListener,
  type UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {expect} from 'earl';
import {
  createInitialConfiguration,
  HOST as ROUTE_HOST,
  prepareGatewayProcess,
  PROCESS_PORTS,
  ROUTE_PATHS,
  sendRawRequest,
  waitUntil,
  type GatewayProcess,
  type GatewayProcessOptions,
} from '../src/index.js';

/** Time for which what a start needs is missing, in milliseconds. */
const MISSING_MS = 1_500;

/** Time within which a process that was asked to stop ends, in milliseconds. */
const STOP_LIMIT_MS = 2_000;

const UNUSABLE_SETTINGS: Readonly<Record<string, (text: string) => string>> = {
  empty: () => '',
  'half written': text => text.slice(0, text.length / 2),
  invalid: text => text.replace('18740', 'port'),
};

describe('a gateway process that starts', () => {
  const state = createStoreState();
  let store: StandInListener;
  let upstream: UpstreamStandIn;
  let gateway: GatewayProcess;
  let host: string;
  let hosts = 0;

  before(async () => {
    store = await startStoreListener(state);
    upstream = await startUpstreamStandIn('u1');
    state.putJson('servers', 'u1', {
      service: 'pool',
      address: upstream.address,
      zone: 'a',
      version: upstream.softwareVersion,
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
    });
    state.putJson('op', 'config', createInitialConfiguration());
  });
  after(() => Promise.all([store.close(), upstream.close()]));
  afterEach(async () => {
    await gateway.end();
  });

  const prepare = (options: Partial<GatewayProcessOptions> = {}) => {
    host = options.host ?? `127.80.${process.pid % 250}.${++hosts}`;
    gateway = prepareGatewayProcess({
      host,
      storeAddress: store.address,
      ...options,
    });
  };
  const call = async (port: number = PROCESS_PORTS.callers) => {
    const {status} = await sendRawRequest({
      address: `${host}:${port}`,
      path: ROUTE_PATHS.open,
      host: ROUTE_HOST,
      headers: {'Request-Id': 'r1', 'Deadline-Ms': '4000'},
    });
    return status;
  };
  const expectToServe = async (port?: number) => {
    await waitUntil('the gateway to be ready', () => gateway.isReady());
    expect(await call(port)).toEqual(200);
  };
  for (const [kind, spoil] of Object.entries(UNUSABLE_SETTINGS)) {
    it(`reads a settings file again that is ${kind} at first`, async () => {
      prepare();
      gateway.writeSettings(spoil(gateway.settings));
      gateway.start();
      await sleep(MISSING_MS);
      expect(gateway.exitCode).toEqual(undefined);
      gateway.writeSettings(gateway.settings);
      await expectToServe();
    });
  }

  it('ends in order at SIGTERM while it waits for its settings', async () => {
    prepare();
    gateway.writeSettings('');
    gateway.start();
    await sleep(MISSING_MS);
    gateway.signal('SIGTERM');
    const code = await Promise.race([gateway.exited, sleep(STOP_LIMIT_MS)]);
    expect(code).toEqual(0);
  });

  it('serves without the bounds of parts that the deployment does not have', async () => {
    prepare({bounds: ''});
    gateway.start();
    await expectToServe();
  });

  it('waits for a store that is not there yet', async () => {
    prepare();
    store.mode = 'reset';
    gateway.start();
    await sleep(MISSING_MS);
    expect(gateway.exitCode).toEqual(undefined);
    store.mode = 'up';
    await expectToServe();
  });
});
