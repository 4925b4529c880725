import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {expect} from 'earl';
import {createHeapBudget, type HeapBudget} from '../src/heap_budget.js';
import {startHeapGuard} from '../src/heap_guard.js';
import {
  manageConnections,
  type ServerConnections,
} from '../src/server_connections.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const UNANSWERED_PATH = '/unanswered';

/** A heap of which callers may take 6 MB. */
const HEAP_LIMIT_BYTES = 41_943_040;

/** Connections whose headers take 7 MB by estimate. */
const PARTIAL_COUNT = 70;
const PARTIAL_TEXT = `GET / HTTP/1.1\r\n${'a:b\r\n'.repeat(3_000)}`;

/** Time in which the guard has checked twice at least, in milliseconds. */
const CHECKS_MS = 300;

describe('a heap guard', () => {
  let server: Server;
  let connections: ServerConnections;
  let budget: HeapBudget;
  let usedBytes: number;
  let stop: () => void;
  let lines: string[];
  let endReasons: Set<string>;

  beforeEach(async () => {
    usedBytes = 0;
    const ownLines: string[] = (lines = []);
    const ownReasons: Set<string> = (endReasons = new Set());
    server = createServer();
    budget = createHeapBudget({heapLimitBytes: HEAP_LIMIT_BYTES});
    connections = manageConnections(server, {
      handler({url, complete}, response) {
        if (!complete) response.shouldKeepAlive = false;
        if (url !== UNANSWERED_PATH) response.end('a');
      },
      onTaken: request => budget.openRequest(request),
      onEnded: ({reason}) => ownReasons.add(reason),
    });
    stop = startHeapGuard({
      server,
      connections,
      budget,
      logger: createLogger({level: 'info', write: line => ownLines.push(line)}),
      metrics: createMetricsRegistry(),
      readUsedBytes: () => usedBytes,
    });
    server.listen(0, HOST);
    await once(server, 'listening');
  });
  afterEach(() => {
    stop();
    connections.destroyAll();
    server.close();
  });

  const open = async (text: string, allowHalfOpen = false) => {
    const {port} = server.address() as AddressInfo;
    const socket = connect({port, host: HOST, allowHalfOpen});
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    if (text) socket.write(text);
    return socket;
  };
  const readAnswer = async (socket: Socket) => {
    let received = '';
    socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
    await Promise.race([once(socket, 'close'), sleep(CHECKS_MS)]);
    return received;
  };

  it('closes connections with parts of headers until the rest fits', async () => {
    const sockets = await Promise.all(
      Array.from({length: PARTIAL_COUNT}, () => open(PARTIAL_TEXT)),
    );
    const ended = sockets.map(socket => once(socket, 'close'));
    await Promise.race(ended);
    await sleep(CHECKS_MS);
    const left = sockets.filter(socket => !socket.destroyed).length;
    expect(left > PARTIAL_COUNT / 2).toEqual(true);
    expect([...endReasons]).toEqual(['shed']);
    expect(budget.step()).toEqual('none');
    const sound = await open(REQUEST);
    expect(await readAnswer(sound)).toMatchRegex(/ 200 OK/);
    [...sockets, sound].forEach(socket => socket.destroy());
    await sleep(CHECKS_MS);
    expect(budget.heldBytes).toEqual(0);
  });

  it('does not count the rest of a body whose request was answered early', async () => {
    const socket = await open(
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n',
      true,
    );
    const answer = readAnswer(socket);
    const chunk = Buffer.alloc(500_000);
    let peakBytes = 0;
    for (let count = 0; count < 12; count++) {
      socket.write(chunk);
      await sleep(CHECKS_MS / 10);
      peakBytes = Math.max(peakBytes, budget.heldBytes);
    }
    expect(await answer).toMatchRegex(/ 200 OK/);
    expect(peakBytes < 100_000).toEqual(true);
    socket.destroy();
  });

  it('closes new connections unread while the heap is full, and serves open ones', async () => {
    const kept = await open('');
    usedBytes = HEAP_LIMIT_BYTES;
    await sleep(CHECKS_MS);
    expect(await readAnswer(await open(REQUEST))).toEqual('');
    kept.write(REQUEST);
    expect(await readAnswer(kept)).toMatchRegex(/ 200 OK/);
    usedBytes = 0;
    await sleep(CHECKS_MS);
    expect(await readAnswer(await open(REQUEST))).toMatchRegex(/ 200 OK/);
    expect(lines.some(line => line.includes('heap_step_changed'))).toEqual(
      true,
    );
    kept.destroy();
  });

  it('gives back what a request held when its connection is reset', async () => {
    const unanswered = REQUEST.replace('/', UNANSWERED_PATH);
    const socket = await open(unanswered + REQUEST.repeat(4));
    await sleep(CHECKS_MS);
    expect(budget.heldBytes > 0).toEqual(true);
    socket.resetAndDestroy();
    await sleep(CHECKS_MS);
    expect(budget.heldBytes).toEqual(0);
  });
});
