import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {
  createCallerOutput,
  type CallerOutput,
} from '../src/calls/caller_output.js';
import {createMemoryBudget} from '../src/memory/memory_budget.js';

/** Bytes that no system takes for a peer that does not read. */
const MORE_THAN_TAKEN_BYTES = 16 * 1_048_576;

describe('the output of a response', {timeout: 20_000}, () => {
  let server: Server;
  let caller: Socket;
  let response: ServerResponse;
  let output: CallerOutput;
  let writes = 0;
  beforeEach(async () => {
    server = createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const taken = new Promise<ServerResponse>(resolve =>
      server.once('request', (_request, taken) => resolve(taken)),
    );
    caller = connect(port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    response = await taken;
    writes = 0;
    const write = response.write.bind(response) as (
      ...args: unknown[]
    ) => boolean;
    response.write = ((...args: unknown[]) => {
      writes++;
      return write(...args);
    }) as ServerResponse['write'];
    const account = createMemoryBudget(Infinity).open(() => undefined);
    output = createCallerOutput(response, account, createSystemClock());
  });
  afterEach(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });

  const writeOften = (text: string, count: number) => {
    for (let i = 0; i < count; i++) output.write(Buffer.from(text), 0);
  };
  const readBody = async () => {
    let text = '';
    caller.on('data', bytes => (text += bytes.toString('latin1')));
    while (!text.endsWith('0\r\n\r\n')) await sleep(5);
    return text;
  };

  // Guards against upstreams that fill the heap with pending writes of a byte or two.
  it('joins the small parts of one read', async () => {
    writeOften('\n\n', 8_000);
    output.end();
    expect(writes).toBeLessThanOrEqual(2);
    expect(await readBody()).toEqual(expect.includes('\n'.repeat(16_000)));
  });

  it('joins small parts of many reads while the caller is behind', async () => {
    output.write(Buffer.alloc(MORE_THAN_TAKEN_BYTES, 'x'), 0);
    await sleep(20);
    writes = 0;
    for (let i = 0; i < 200; i++) {
      output.write(Buffer.from('y'), 0);
      await new Promise(setImmediate);
    }
    expect(writes).toBeLessThanOrEqual(1);
    expect(output.unreadBytes).toBeGreaterThan(200);
    output.end();
    const body = await readBody();
    expect(body.replace(/\r\n[0-9a-f]+\r\n/g, '')).toEqual(
      expect.includes('x' + 'y'.repeat(200)),
    );
  });

  it('sends what it joined while the caller was behind once the caller reads', async () => {
    output.write(Buffer.alloc(MORE_THAN_TAKEN_BYTES, 'x'), 0);
    await sleep(20);
    writeOften('y', 10);
    await sleep(20);
    writeOften('z', 10);
    await sleep(20);
    let text = '';
    caller.on('data', bytes => (text += bytes.toString('latin1')));
    while (!text.includes('zzzzzzzzzz')) await sleep(5);
    expect(text.indexOf('yyyyyyyyyy')).toBeLessThan(text.indexOf('z'));
  });

  it('sends a part at once while the caller reads', async () => {
    let text = '';
    caller.on('data', bytes => (text += bytes.toString('latin1')));
    for (const part of ['one', 'two', 'three']) {
      output.write(Buffer.from(part), 0);
      while (!text.includes(part)) await sleep(1);
    }
    expect(writes).toEqual(3);
  });
});
