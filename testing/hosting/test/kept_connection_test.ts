import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {openKeptConnection} from '../src/kept_connection.js';
import {startLoopPolls, type LoopPolls} from '../src/loop_polls.js';

const REQUEST = {path: '/', headers: {}, body: 'b'};
const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr';

describe('openKeptConnection', () => {
  let server: Server;
  let address: string;
  let loopPolls: LoopPolls;
  let accepted: Promise<Socket>;

  before(async () => {
    loopPolls = startLoopPolls();
    server = createServer({allowHalfOpen: true});
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  beforeEach(() => {
    accepted = new Promise(resolve => server.once('connection', resolve));
  });
  after(() => {
    loopPolls.stop();
    server.close();
  });

  it('tells a time before the close when the close is noticed late', async () => {
    const connection = openKeptConnection(address, {loopPolls});
    const peer = await accepted;
    const response = connection.send(REQUEST);
    await new Promise(resolve => peer.once('data', resolve));
    peer.destroy();
    await new Promise<void>(resolve => peer.once('close', () => resolve()));
    const closedAtMs = performance.now();
    while (performance.now() < closedAtMs + 300);
    await response;
    expect(connection.openUntilMs! <= closedAtMs).toEqual(true);
  });

  it('tells a time after which the event loop has reported nothing', async () => {
    const connection = openKeptConnection(address, {loopPolls});
    const peer = await accepted;
    const response = connection.send(REQUEST);
    const waitUntilMs = performance.now() + 100;
    while (loopPolls.reportedUntilMs() < waitUntilMs) await sleep(5);
    expect(connection.openUntilMs).toEqual(undefined);
    peer.destroy();
    await response;
    expect(connection.openUntilMs! >= waitUntilMs).toEqual(true);
  });

  it('delays requests, responses and closes', async () => {
    const delayMs = 40;
    const connection = openKeptConnection(address, {delayMs});
    const peer = await accepted;
    const sentAtMs = performance.now();
    const response = connection.send(REQUEST);
    expect(connection.sentWholeAtMs).toEqual(undefined);
    await new Promise(resolve => peer.once('data', resolve));
    const receivedAtMs = performance.now();
    expect(receivedAtMs - sentAtMs >= delayMs - 1).toEqual(true);
    peer.end(RESPONSE);
    expect((await response).isComplete).toEqual(true);
    expect(performance.now() - receivedAtMs >= delayMs - 1).toEqual(true);
    const ended = new Promise(resolve => peer.once('end', resolve));
    const closedAtMs = performance.now();
    connection.close();
    peer.resume();
    await ended;
    expect(performance.now() - closedAtMs >= delayMs - 1).toEqual(true);
  });

  it('sends a request that crosses the close of a delayed connection', async () => {
    const connection = openKeptConnection(address, {delayMs: 40});
    const peer = await accepted;
    await connection.opened;
    const received = new Promise<Buffer>(resolve => peer.once('data', resolve));
    peer.end();
    const response = connection.send(REQUEST);
    expect((await received).toString().startsWith('POST / ')).toEqual(true);
    expect((await response).isComplete).toEqual(false);
    expect(connection.isClosed).toEqual(true);
    peer.destroy();
  });
});
