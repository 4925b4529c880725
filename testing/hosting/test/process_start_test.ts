import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
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

/** Time for which a process waits for what is missing, in milliseconds. */
const MISSING_MS = 1_000;

/** Time within which a process that was asked to stop ends, in milliseconds. */
const STOP_LIMIT_MS = 2_000;

/** Time within which a process that cannot start ends; it waits longer for what may come, in milliseconds. */
const FAILED_START_LIMIT_MS = 5_000;

type Release = () => Promise<unknown>;

/** Listens on an address over TCP, like the process that had it before. */
async function holdPort(host: string, port: number): Promise<Release> {
  const server = createServer().listen(port, host);
  await once(server, 'listening');
  return () => new Promise(resolve => server.close(resolve));
}

async function holdDatagramPort(host: string, port: number): Promise<Release> {
  const socket = createSocket('udp4').bind(port, host);
  await once(socket, 'listening');
  return () => new Promise<void>(resolve => socket.close(() => resolve()));
}

/** Opens a connection whose local port the operating system chooses. */
async function connectFrom(host: string) {
  const server = createServer(accepted =>
    accepted.on('error', () => undefined),
  ).listen(0, host);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket = connect({host, port});
  await once(socket, 'connect');
  const close = async () => {
    // A reset connection does not enter TIME_WAIT.
    socket.resetAndDestroy();
    await new Promise(resolve => server.close(resolve));
  };
  return {localPort: socket.localPort!, close};
}

const HOLDERS: Readonly<Record<string, (host: string) => Promise<Release>>> = {
  'address for callers': host => holdPort(host, PROCESS_PORTS.callers),
  'readiness address': host => holdPort(host, PROCESS_PORTS.readiness),
  'address for peers': host => holdPort(host, PROCESS_PORTS.peers),
  'datagram address for peers': host =>
    holdDatagramPort(host, PROCESS_PORTS.peers),
};

const UNUSABLE_SETTINGS: Readonly<Record<string, (text: string) => string>> = {
  empty: () => '',
  'half written': text => text.slice(0, text.length / 2),
  invalid: text => text.replace('18740', 'port'),
};

/** Settings that name one address twice, with the names of both. */
const EQUAL_ADDRESSES: Readonly<
  Record<string, {from: number; to: number; names: string[]}>
> = {
  'for callers and peers': {
    from: PROCESS_PORTS.callers,
    to: PROCESS_PORTS.peers,
    names: ['listen.front', 'port_range'],
  },
  'for callers and readiness': {
    from: PROCESS_PORTS.readiness,
    to: PROCESS_PORTS.callers,
    names: ['listen.front', 'listen.ready'],
  },
  'for readiness and peers': {
    from: PROCESS_PORTS.readiness,
    to: PROCESS_PORTS.peers,
    names: ['listen.ready', 'port_range'],
  },
};

describe('a gateway process that starts', () => {
  const state = createStoreState();
  let store: StandInListener;
  let upstream: UpstreamStandIn;
  let gateway: GatewayProcess;
  let host: string;
  let releases: Release[] = [];
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
    await Promise.all(releases.map(release => release()));
    releases = [];
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
  const hold = async (holder: (address: string) => Promise<Release>) => {
    const release = await holder(host);
    let released: Promise<unknown> | undefined;
    const releaseOnce = () => (released ??= release());
    releases.push(releaseOnce);
    return releaseOnce;
  };
  const expectToServe = async (port?: number) => {
    await waitUntil('the gateway to be ready', () => gateway.isReady());
    expect(await call(port)).toEqual(200);
  };
  const logged = (event: string) =>
    gateway.lines.filter(line => line.includes(`event=${event} `));

  /** Checks that the process logs that something is missing, and goes on. */
  const expectToWait = async (event: string) => {
    await waitUntil(
      `${event} or an end of the process`,
      () => logged(event).length > 0 || gateway.exitCode !== undefined,
    );
    await sleep(MISSING_MS);
    expect(gateway.exitCode).toEqual(undefined);
  };

  for (const [what, holder] of Object.entries(HOLDERS)) {
    it(`waits for the ${what} while it is taken`, async () => {
      prepare();
      const release = await hold(holder);
      gateway.start();
      await expectToWait('address_waiting');
      await release();
      await expectToServe();
      expect(logged('address_waiting').length).toEqual(1);
      expect(logged('address_opened').length).toEqual(1);
    });
  }

  it('waits for the port for callers while an outgoing connection of another process uses it', async () => {
    // The source address of connections between loopback addresses.
    host = '127.0.0.1';
    const {localPort, close} = await connectFrom(host);
    // Another connection may use the port next, so that the release shows nothing.
    await hold(() => Promise.resolve(close));
    prepare({host, callerPort: localPort});
    gateway.start();
    await expectToWait('address_waiting');
  });

  it('serves callers while the address of the metrics is taken, and opens it later', async () => {
    prepare();
    const release = await hold(address =>
      holdPort(address, PROCESS_PORTS.metrics),
    );
    gateway.start();
    await expectToServe();
    await release();
    const url = `http://${host}:${PROCESS_PORTS.metrics}/metrics`;
    await waitUntil('the metrics', () =>
      fetch(url).then(
        ({status}) => status === 200,
        () => false,
      ),
    );
  });

  it('serves callers at the port of the metrics, which then wait', async () => {
    prepare({callerPort: PROCESS_PORTS.metrics});
    gateway.start();
    await expectToServe(PROCESS_PORTS.metrics);
    const [line] = logged('address_waiting');
    expect(line).toMatchRegex(/purpose=metrics/);
  });

  it('ends in order at SIGTERM while it waits for an address', async () => {
    prepare();
    await hold(address => holdPort(address, PROCESS_PORTS.callers));
    gateway.start();
    await expectToWait('address_waiting');
    gateway.signal('SIGTERM');
    const code = await Promise.race([gateway.exited, sleep(STOP_LIMIT_MS)]);
    expect(code).toEqual(0);
  });

  for (const [kind, spoil] of Object.entries(UNUSABLE_SETTINGS)) {
    it(`reads a settings file again that is ${kind} at first`, async () => {
      prepare();
      gateway.writeSettings(spoil(gateway.settings));
      gateway.start();
      await expectToWait('settings_waiting');
      gateway.writeSettings(gateway.settings);
      await expectToServe();
    });
  }

  for (const [purposes, {from, to, names}] of Object.entries(EQUAL_ADDRESSES)) {
    it(`ends at once when the addresses ${purposes} are equal, and names both`, async () => {
      prepare();
      gateway.writeSettings(gateway.settings.replace(`:${from}`, `:${to}`));
      gateway.start();
      const limit = sleep(FAILED_START_LIMIT_MS);
      const code = await Promise.race([gateway.exited, limit]);
      expect(code).toEqual(2);
      const [line] = gateway.lines.filter(text =>
        text.includes('code=SETTINGS_INVALID'),
      );
      expect(names.filter(name => !line?.includes(name))).toEqual([]);
      expect(line).toMatchRegex(new RegExp(`${host}:${to}`));
    });
  }

  it('ends in order at SIGTERM while it waits for its settings', async () => {
    prepare();
    gateway.writeSettings('');
    gateway.start();
    await expectToWait('settings_waiting');
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
    await expectToWait('store_failed');
    store.mode = 'up';
    await expectToServe();
  });
});
