import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLargeHeaders, openCrowd} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {request} from 'undici';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  waitUntil,
  type ChatResponse,
  type TestCluster,
  type TestProcess,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];

/** Heap of every process, as deployments set it for gateways. */
const SMALL_HEAP = {NODE_OPTIONS: '--max-old-space-size=90'};

/** Connections of callers at once. */
const CROWD_SIZE = 3_700;

/** Time for which callers pipeline requests, in milliseconds. */
const FLOOD_MS = 10_000;

/** Time for which they stay, in milliseconds. */
const CROWD_MS = 2_500;

/** What callers of a crowd get; 0 for those that are closed without an answer. */
const CROWD_STATUSES: ReadonlySet<number> = new Set([
  0, 200, 401, 404, 408, 429, 503,
]);

/** Heap that a process may hold beyond that at its start once its callers have left. */
const MAX_HEAP_GROWTH_MB = 10;

const BYTES_PER_MB = 1_048_576;

const TIMEOUT_MS = 30_000;

/** Size of a body of which callers send a part, in bytes. */
const BODY_BYTES = 90_000;

function renderRequest(
  method: string,
  headers: Record<string, string>,
  body = '',
): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `${method} /v1/chat/completions HTTP/1.1\r\nHost: h\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Whether a sound call was served whole, or was refused as not run. */
function isTrueAnswer({status, isComplete, outcome}: ChatResponse): boolean {
  return isComplete || (status === 503 && outcome === 'not_run');
}

describe('an entry process with a heap of 90 MB and a crowd of callers', () => {
  const {model, organisation} = DEPLOYMENT;
  let cluster: TestCluster;
  let entry: TestProcess;
  let secret: string;
  let exits: string[];
  let heapAtStartMb: number;
  let answers: ChatResponse[];
  let isSending: boolean;
  let soundCallers: Promise<void>;

  const readHeapMb = async () => {
    const {body} = await request(`http://${entry.opsAddress}/metrics`);
    const name = 'sardinestile_process_heap_used_bytes';
    const value = new RegExp(`^${name} (\\S+)$`, 'm').exec(await body.text());
    return Number(value?.[1]) / BYTES_PER_MB;
  };
  const sendSoundCalls = async () => {
    while (isSending) {
      const call = {address: entry.address, secret, model};
      const lost: ChatResponse = {status: 0, isComplete: false, text: ''};
      answers.push(
        await callChat({...call, content: 'sound', maxTokens: 5}).catch(
          () => lost,
        ),
      );
      await sleep(20);
    }
  };
  beforeEach(async () => {
    cluster = await startDeployment(DEPLOYMENT, {environment: SMALL_HEAP});
    secret = cluster.secrets.get(organisation)!;
    entry = entriesOf(cluster)[0].process;
    const ownExits: string[] = (exits = []);
    for (const {instance, process} of cluster.members) {
      void process.exited.then(code =>
        ownExits.push(`${instance.id}: ${code}`),
      );
    }
    heapAtStartMb = await readHeapMb();
    answers = [];
    isSending = true;
    soundCallers = sendSoundCalls();
  });
  afterEach(async () => {
    isSending = false;
    await cluster.stop();
    await soundCallers;
  });

  const expectSoundService = async () => {
    const before = answers.length;
    await waitUntil(() => answers.length > before + 10, TIMEOUT_MS);
    const later = answers.slice(before + 1);
    expect(later.filter(({isComplete}) => !isComplete)).toEqual([]);
    expect(answers.filter(answer => !isTrueAnswer(answer))).toEqual([]);
  };
  /** Waits until garbage was collected and the heap is as at the start. */
  const waitForUsualHeap = () =>
    waitUntil(
      async () => (await readHeapMb()) < heapAtStartMb + MAX_HEAP_GROWTH_MB,
      TIMEOUT_MS,
    );

  it('is not ended by pipelined requests on connections that are reset', async () => {
    const text = renderRequest('POST', {
      Authorization: `Bearer ${secret}`,
      'Content-Length': '0',
    });
    const endAtMs = performance.now() + FLOOD_MS;
    while (performance.now() < endAtMs && exits.length === 0) {
      const crowd = await openCrowd(entry.address, 10, text.repeat(40));
      await sleep(40);
      crowd.leave();
    }
    expect(exits).toEqual([]);
    await expectSoundService();
    await waitForUsualHeap();
  });

  const createCall = (headers: Record<string, string>) =>
    renderRequest(
      'POST',
      {
        Authorization: `Bearer ${secret}`,
        ...headers,
        'Content-Length': String(BODY_BYTES),
      },
      'b'.repeat(8_000),
    );
  const crowds: Array<{name: string; text: () => string; size?: number}> = [
    {
      name: '8 KB of headers and a part of a body',
      text: () => createCall(createLargeHeaders(8_192, 8)),
    },
    {
      name: '8 KB of many headers and a part of a body',
      text: () => createCall(createLargeHeaders(8_192, 150)),
    },
    {
      name: '13 KB of headers and a part of a body',
      text: () => createCall(createLargeHeaders(13_312, 13)),
    },
    {
      name: 'headers that do not end',
      text: () => `GET / HTTP/1.1\r\n${'a:b\r\n'.repeat(2_500)}`,
    },
    {
      name: 'requests that wait behind a call',
      text: () =>
        renderRequest('GET', {Authorization: `Bearer ${secret}`}) +
        renderRequest('GET', createLargeHeaders(4_096, 150)).repeat(12),
    },
    {
      name: 'thousands of requests at once',
      size: 300,
      text: () => 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(2_400),
    },
  ];
  for (const {name, text, size = CROWD_SIZE} of crowds) {
    it(`is not ended by ${size} connections with ${name}`, async () => {
      const crowd = await openCrowd(entry.address, size, text());
      await sleep(CROWD_MS);
      expect(exits).toEqual([]);
      // What was not served was refused as not run, timed out or was closed unread.
      const statuses = [...crowd.outcomes.keys()];
      const isUsual = (status: number) => CROWD_STATUSES.has(status);
      expect(statuses.filter(status => !isUsual(status))).toEqual([]);
      crowd.leave();
      await expectSoundService();
      await waitForUsualHeap();
      expect(exits).toEqual([]);
    });
  }
});
