import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {openCrowd} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {request} from 'undici';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  waitUntil,
  type TestCluster,
  type TestProcess,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];

/** Heap of every process, as deployments set it for gateways. */
const SMALL_HEAP = {NODE_OPTIONS: '--max-old-space-size=90'};

/** Connections at once. */
const CROWD_SIZE = 3_700;

/** Time for which they stay, in milliseconds. */
const CROWD_MS = 2_500;

const TIMEOUT_MS = 30_000;

/** Parts of headers of 12 KB. */
const PARTIAL_HEADERS = `GET / HTTP/1.1\r\n${'a:b\r\n'.repeat(2_500)}`;

/** A request with 12 KB of headers and a part of its body. */
const UNFINISHED = `POST /state HTTP/1.1\r\nHost: h\r\n${`large: ${'v'.repeat(4_000)}\r\n`.repeat(3)}Content-Length: 9000\r\n\r\nbody`;

const HEADERS_FRAME = 1;
const SETTINGS_FRAME = 4;
const END_HEADERS = 4;

/** Returns a frame of an HTTP/2 connection. */
function renderFrame(
  type: number,
  flags: number,
  streamId: number,
  payload = Buffer.alloc(0),
): Buffer {
  const head = Buffer.alloc(9);
  head.writeUIntBE(payload.length, 0, 3);
  head[3] = type;
  head[4] = flags;
  head.writeUInt32BE(streamId, 5);
  return Buffer.concat([head, payload]);
}

/** Returns the start of a gRPC call that never ends. */
function renderCall(streamId: number, path: string): Buffer {
  const fields = Object.entries({
    ':method': 'POST',
    ':scheme': 'http',
    ':path': path,
    ':authority': 'h',
    'content-type': 'application/grpc',
    te: 'trailers',
  });
  // Fields that are neither indexed nor compressed.
  const payload = fields.flatMap(([name, value]) => [
    Buffer.from([0, name.length]),
    Buffer.from(name),
    Buffer.from([value.length]),
    Buffer.from(value),
  ]);
  return renderFrame(
    HEADERS_FRAME,
    END_HEADERS,
    streamId,
    Buffer.concat(payload),
  );
}

/** Returns an HTTP/2 connection with calls that never end. */
function renderCalls(count: number, path: string): Buffer {
  return Buffer.concat([
    Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
    renderFrame(SETTINGS_FRAME, 0, 0),
    ...Array.from({length: count}, (_, i) => renderCall(2 * i + 1, path)),
  ]);
}

const SESSION_PATH = '/sardinestile.v1.SessionService/Open';
const PULL_PATH = '/sardinestile.v1.PeerService/PullConfig';

/** Calls on each of some connections. */
const CALLS = 300;
const CALLS_CROWD_SIZE = 200;

type AddressName = 'opsAddress' | 'peerAddress' | 'address';

const CROWDS: Array<{
  role: 'entry' | 'agent';
  port: AddressName;
  name: string;
  text: string | Uint8Array;
  size?: number;
}> = [
  {
    role: 'entry',
    port: 'opsAddress',
    name: 'headers that do not end',
    text: PARTIAL_HEADERS,
  },
  {
    role: 'entry',
    port: 'opsAddress',
    name: 'parts of a body',
    text: UNFINISHED,
  },
  {
    role: 'agent',
    port: 'opsAddress',
    name: 'headers that do not end',
    text: PARTIAL_HEADERS,
  },
  {
    role: 'entry',
    port: 'peerAddress',
    name: 'no calls',
    text: renderCalls(0, PULL_PATH),
  },
  {
    role: 'agent',
    port: 'address',
    name: 'no calls',
    text: renderCalls(0, SESSION_PATH),
  },
  {
    role: 'entry',
    port: 'peerAddress',
    name: `${CALLS} calls each`,
    text: renderCalls(CALLS, PULL_PATH),
    size: CALLS_CROWD_SIZE,
  },
  {
    role: 'agent',
    port: 'address',
    name: `${CALLS} calls each`,
    text: renderCalls(CALLS, SESSION_PATH),
    size: CALLS_CROWD_SIZE,
  },
];

describe('processes with a heap of 90 MB and a crowd at ports that callers do not use', () => {
  const {model, organisation} = DEPLOYMENT;
  let cluster: TestCluster;
  let exits: string[];

  beforeEach(async () => {
    cluster = await startDeployment(DEPLOYMENT, {environment: SMALL_HEAP});
    const ownExits: string[] = (exits = []);
    for (const {instance, process} of cluster.members) {
      void process.exited.then(code =>
        ownExits.push(`${instance.id}: ${code}`),
      );
    }
  });
  afterEach(() => cluster.stop());

  const processOf = (role: 'entry' | 'agent'): TestProcess =>
    role === 'entry'
      ? entriesOf(cluster)[0].process
      : cluster.members.find(({instance}) => instance.role === 'agent')!
          .process;
  const call = () =>
    callChat({
      address: entriesOf(cluster)[0].process.address,
      secret: cluster.secrets.get(organisation)!,
      model,
      content: 'sound',
      maxTokens: 5,
    });

  for (const {role, port, name, text, size = CROWD_SIZE} of CROWDS) {
    it(`are not ended by ${size} connections with ${name} at the ${port} of an ${role}`, async () => {
      const target = processOf(role);
      const crowd = await openCrowd(target[port], size, text);
      expect(await call()).toEqual(expect.subset({isComplete: true}));
      await sleep(CROWD_MS);
      expect(exits).toEqual([]);
      expect(await call()).toEqual(expect.subset({isComplete: true}));
      crowd.leave();
      await waitUntil(
        () =>
          request(`http://${target.opsAddress}/ready`).then(
            ({statusCode}) => statusCode === 200,
            () => false,
          ),
        TIMEOUT_MS,
      );
      expect(exits).toEqual([]);
    });
  }
});
