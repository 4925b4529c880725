import {readFile} from 'node:fs/promises';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {UpstreamAdapter, UpstreamEvent} from '@sardinestile/adapters';
import {createLogger} from '@sardinestile/logger';
import {createConfigReplica, encodeConfigUpdate} from '@sardinestile/replica';
import {
  openSession,
  SESSION_TIMEOUT_MS,
  type EntryBody,
  type ReceivedAgentBody,
  type Session,
} from '@sardinestile/session';
import {expect} from 'earl';
import {startAgent, type Agent} from '../src/index.js';

const HOST = '127.0.0.1';

/** A response that exceeds what flow control lets the agent send unread. */
const CHUNKS = 8;
const CHUNK_BYTES = 16_384;

/** Time for which the entry reads nothing, in milliseconds. */
const PAUSE_MS = 400;

const CONFIG_VERSION = 1;
const EXAMPLE = new URL('../../../examples/paletta_viva.yaml', import.meta.url);

/** Creates an upstream that responds with all chunks at once. */
function createUpstream(onStarted: () => void): UpstreamAdapter {
  return {
    async *run(): AsyncIterable<UpstreamEvent> {
      onStarted();
      yield {kind: 'head', status: 200, headers: []};
      const data = new Uint8Array(CHUNK_BYTES);
      for (let i = 0; i < CHUNKS; i++) {
        yield {kind: 'data', data, tokens: 0, text: '', finishReason: ''};
      }
      yield {kind: 'end', promptTokens: 0, outputTokens: 0};
    },
    readLoad: async () => ({running: 0, waiting: 0}),
    sendCommand: async () => undefined,
    close: async () => undefined,
  };
}

/** Returns how many timers keep this process running. */
function countTimers(): number {
  return process.getActiveResourcesInfo().filter(name => name === 'Timeout')
    .length;
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('an agent that stops', () => {
  let agent: Agent;
  let relay: ReturnType<typeof createServer>;
  let client: Socket;
  let target: Socket;
  let session: Session<EntryBody>;
  let received: ReceivedAgentBody[];
  let closed: Promise<string>;
  let started: Promise<void>;
  let timersBefore: number;

  beforeEach(async () => {
    timersBefore = countTimers();
    let markStarted!: () => void;
    started = new Promise(resolve => (markStarted = resolve));
    agent = await startAgent({
      instance: 'agent-1',
      availabilityZone: 'milano-uno',
      host: HOST,
      port: 0,
      opsPort: 0,
      adminKey: 'key',
      service: 'depot',
      upstream: createUpstream(markStarted),
      logger: createLogger({level: 'error'}),
    });
    relay = createServer(socket => {
      client = socket;
      target = connect(agent.port, HOST);
      client.pipe(target).pipe(client);
      client.on('error', () => undefined);
      target.on('error', () => undefined);
    });
    await new Promise<void>(resolve => relay.listen(0, HOST, resolve));
    received = [];
    closed = new Promise(resolve => {
      session = openSession({
        address: `${HOST}:${(relay.address() as AddressInfo).port}`,
        handlers: {
          onMessage: body => received.push(body),
          onClose: resolve,
          heartbeat: () => ({configVersion: CONFIG_VERSION}),
        },
      });
    });
    const replica = createConfigReplica();
    const text = await readFile(EXAMPLE, 'utf8');
    const snapshot = {version: CONFIG_VERSION, text, keys: [], draining: []};
    replica.apply({version: CONFIG_VERSION, changes: [], snapshot});
    const value = encodeConfigUpdate(replica.createUpdateSince(0));
    session.send({case: 'configPush', value});
    while (!hasConfig()) await delay(1);
  });
  afterEach(async () => {
    session.close('done');
    await agent.stop();
    client.destroy();
    target.destroy();
    relay.close();
  });

  function hasConfig(): boolean {
    return received.some(
      body =>
        body.case === 'heartbeat' &&
        body.value.configVersion === CONFIG_VERSION,
    );
  }

  function count(kind: ReceivedAgentBody['case']): number {
    return received.filter(body => body.case === kind).length;
  }

  function sendRequest(attemptId: string): void {
    session.send({
      case: 'reserve',
      value: {
        attemptId,
        requestId: attemptId,
        service: 'depot',
        requestClass: 'stock',
        organisation: 'porto-marghera',
        commit: {
          attemptId,
          method: 'GET',
          path: '/',
          creditBytes: CHUNKS * CHUNK_BYTES + 1,
        },
      },
    });
  }

  it('delivers a response that has ended to an entry that reads late', async () => {
    target.unpipe(client).pause();
    sendRequest('r');
    await started;
    const resumed = new Promise<void>(resolve =>
      setTimeout(() => {
        target.pipe(client);
        resolve();
      }, PAUSE_MS),
    );
    await Promise.all([agent.stop(), resumed, closed]);
    expect([count('chunk'), count('finished')]).toEqual([CHUNKS, 1]);
  });

  it('leaves no timer of an ended request that keeps the process running', async () => {
    sendRequest('r');
    while (count('finished') === 0) await delay(1);
    session.close('done');
    await agent.stop();
    expect(countTimers()).toEqual(timersBefore);
  });

  it('does not wait for an entry that is silent', async () => {
    client.unpipe(target).pause();
    target.unpipe(client).pause();
    const startMs = performance.now();
    await agent.stop();
    expect(performance.now() - startMs < 3 * SESSION_TIMEOUT_MS).toEqual(true);
  });
});
