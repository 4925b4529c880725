import {connect, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {expect} from 'earl';
import {createPeerClient, type PeerClient} from '../src/index.js';

/** Time after which a call to a peer that does not respond has failed, in milliseconds. */
const LIMIT_MS = 1_500;

/** Connections that fill the queue of a listener that accepts none. */
const QUEUED_CONNECTIONS = 4;

/** Listens with a short queue, then blocks its thread, so that it accepts nothing. */
const BLOCKED_LISTENER = `
  const {createServer} = require('node:net');
  const {parentPort} = require('node:worker_threads');
  const server = createServer();
  server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
    parentPort.postMessage(server.address().port);
    setTimeout(() => {
      const cell = new Int32Array(new SharedArrayBuffer(4));
      Atomics.wait(cell, 0, 0, 20_000);
    }, 50);
  });
`;

describe('createPeerClient', () => {
  let worker: Worker;
  let client: PeerClient;
  let address: string;
  const queued: Socket[] = [];
  before(async () => {
    worker = new Worker(BLOCKED_LISTENER, {eval: true});
    const port = await new Promise<number>(resolve =>
      worker.once('message', resolve),
    );
    await new Promise(resolve => setTimeout(resolve, 200));
    for (let i = 0; i < QUEUED_CONNECTIONS; i++) {
      queued.push(connect(port, '127.0.0.1').on('error', () => undefined));
    }
    await new Promise(resolve => setTimeout(resolve, 200));
    address = `127.0.0.1:${port}`;
    client = createPeerClient(() => 'fleet');
  });
  after(async () => {
    queued.forEach(socket => socket.destroy());
    await client.close();
    await worker.terminate();
  });

  const calls: Record<string, () => Promise<unknown>> = {
    'a relay of usage': () =>
      client.relayUsage(address, {source: 's', windowId: '1', sums: new Map()}),
    'a call for the configuration': () => client.fetchConfig(address, 0),
    'a long poll for the configuration': () =>
      client.fetchConfig(address, 0, 200),
    'a long poll for upstreams': () =>
      client.fetchUpstreamChanges(address, undefined, 200),
  };
  for (const [name, call] of Object.entries(calls)) {
    it(`gives up ${name} to a peer whose connections hang`, async () => {
      const startMs = performance.now();
      await expect(call()).toBeRejected();
      expect(performance.now() - startMs < LIMIT_MS).toEqual(true);
    });
  }
});
