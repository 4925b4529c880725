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

/** The start of an HTTP/2 connection: its preface and empty settings. */
const HTTP2_START = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0';

type AddressName = 'opsAddress' | 'peerAddress' | 'address';

const CROWDS: Array<{
  role: 'entry' | 'agent';
  port: AddressName;
  name: string;
  text: string;
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
  {role: 'entry', port: 'peerAddress', name: 'no calls', text: HTTP2_START},
  {role: 'agent', port: 'address', name: 'no calls', text: HTTP2_START},
];

describe('processes with a heap of 90 MB and a crowd at ports that callers do not use', () => {
  const {model, organisation} = DEPLOYMENT;
  let cluster: TestCluster;
  let exits: string[];

  beforeEach(async () => {
    cluster = await startDeployment(DEPLOYMENT, SMALL_HEAP);
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

  for (const {role, port, name, text} of CROWDS) {
    it(`are not ended by connections with ${name} at the ${port} of an ${role}`, async () => {
      const target = processOf(role);
      const crowd = await openCrowd(target[port], CROWD_SIZE, text);
      expect((await call()).isComplete).toEqual(true);
      await sleep(CROWD_MS);
      expect(exits).toEqual([]);
      expect((await call()).isComplete).toEqual(true);
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
