import {readdirSync, readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, describe} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  type TestCluster,
  type TestProcess,
} from '../../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];

const MAX_RESIDENT_MB = 250;

/** Limits of every process. */
const LIMITS = {
  NODE_OPTIONS: '--max-old-space-size=90',
  SARDINESTILE_MEMORY_MB: String(MAX_RESIDENT_MB),
};

const MAX_DESCRIPTORS = 600;

const BODY_BYTES = 1_000_000;

/** Time for which a crowd sends before an ordinary request follows, in milliseconds. */
const CROWD_MS = 3_000;

/** Time after which an ordinary caller gives up, in milliseconds. */
const PATIENCE_MS = 30_000;

const KB_PER_MB = 1_024;

/** What each client of a crowd sends; none of them reads its answers. */
const CROWDS: Readonly<
  Record<
    string,
    {
      clients: number;
      port: 'address' | 'opsAddress';
      render: (secret: string) => string;
    }
  >
> = {
  'bodies in chunks of one byte that stop short of their end': {
    clients: 40,
    port: 'address',
    render: secret => renderChat(secret) + '1\r\nb\r\n'.repeat(BODY_BYTES - 1),
  },
  'bodies in large chunks that stop short of their end': {
    clients: 300,
    port: 'address',
    render: secret =>
      `${renderChat(secret)}${`10000\r\n${'b'.repeat(65_536)}\r\n`.repeat(15)}4000\r\n`,
  },
  'requests without the usual headers, sent ahead': {
    clients: 300,
    port: 'address',
    render: () => 'GET /v1/models HTTP/1.1\r\n\r\n'.repeat(20_000),
  },
  'questions whether it is ready, sent ahead': {
    clients: 90,
    port: 'opsAddress',
    render: () => 'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(20_000),
  },
};

function renderChat(secret: string): string {
  return `POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${secret}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

describe('an entry stays within its limits and serves others', () => {
  const {model, organisation} = DEPLOYMENT;
  let cluster: TestCluster;
  let entry: TestProcess;
  let exits: Array<number | null>;
  let sockets: Socket[] = [];

  beforeEach(async () => {
    cluster = await startDeployment(DEPLOYMENT, {environment: LIMITS});
    entry = entriesOf(cluster)[0].process;
    const ownExits: Array<number | null> = (exits = []);
    void entry.exited.then(code => ownExits.push(code));
  });
  afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await cluster.stop();
  });

  const call = () =>
    callChat({
      signal: AbortSignal.timeout(PATIENCE_MS),
      address: entry.address,
      secret: cluster.secrets.get(organisation)!,
      model,
      content: 'sound',
      maxTokens: 5,
    });

  for (const [name, {clients, port, render}] of Object.entries(CROWDS)) {
    itOrKnownRed(`while ${clients} callers send ${name}`, async () => {
      const text = Buffer.from(render(cluster.secrets.get(organisation)!));
      const [host, portNumber] = entry[port].split(':');
      sockets = Array.from({length: clients}, () => {
        const socket = connect(Number(portNumber), host);
        socket.on('error', () => undefined).write(text);
        return socket;
      });
      await sleep(CROWD_MS);
      expect(await call()).toEqual(expect.subset({isComplete: true}));
      sockets.forEach(socket => socket.resetAndDestroy());
      expect(await call()).toEqual(expect.subset({isComplete: true}));
      expect(exits).toEqual([]);
      const descriptors = readdirSync(`/proc/${entry.pid}/fd`).length;
      expect(descriptors).toBeLessThanOrEqual(MAX_DESCRIPTORS);
      const status = readFileSync(`/proc/${entry.pid}/status`, 'utf8');
      const peakKb = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
      expect(Number(peakKb) / KB_PER_MB).toBeLessThanOrEqual(MAX_RESIDENT_MB);
    });
  }
});
