import {once} from 'node:events';
import {
  createServer,
  request as sendRequest,
  type ClientRequest,
  type IncomingMessage,
  type Server,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createBufferCollector} from '@sardinestile/memory';
import {expect} from 'earl';
import {readBody} from '../src/calls/read_body.js';
import {createBodyAdmission} from '../src/memory/body_admission.js';
import {
  createMemoryBudget,
  type MemoryBudget,
} from '../src/memory/memory_budget.js';

const LIMIT_BYTES = 1_000_000;
const MAX_BODY_BYTES = 1_000_000;

/** Together more than three quarters of the limit, each of them less. */
const LARGE_BYTES = 500_000;
const OTHER_BYTES = 400_000;

/** Longer than a body may stall before it gives back its room. */
const STALL_MS = 2_500;

describe('reading a body', () => {
  let server: Server;
  let memoryBudget: MemoryBudget;

  beforeEach(async () => {
    memoryBudget = createMemoryBudget(LIMIT_BYTES);
    const context = {
      memoryBudget,
      bodyAdmission: createBodyAdmission(memoryBudget, LIMIT_BYTES),
      bufferCollector: createBufferCollector(),
    };
    server = createServer((request, response) => {
      const account = memoryBudget.open(() => undefined);
      void readBody(context, request, MAX_BODY_BYTES, account).then(result => {
        const bytes = result.kind === 'complete' ? result.body.length : 0;
        account.close();
        response.end(`${result.kind} ${bytes}`);
      });
    }).listen(0);
    await once(server, 'listening');
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  const start = (statedBytes: number) =>
    sendRequest({
      port: (server.address() as AddressInfo).port,
      method: 'POST',
      headers: {'Content-Length': statedBytes},
    });
  const readAnswer = async (request: ClientRequest) => {
    const [response] = (await once(request, 'response')) as [IncomingMessage];
    let answer = '';
    for await (const chunk of response) answer += String(chunk);
    return answer;
  };
  const send = (bytes: number) => {
    const request = start(bytes);
    request.end(Buffer.alloc(bytes));
    return readAnswer(request);
  };

  it('holds the room of a body that arrives', async () => {
    const arriving = start(LARGE_BYTES);
    arriving.write('b');
    await sleep(100);
    expect(await send(OTHER_BYTES)).toEqual('memoryShort 0');
    arriving.end(Buffer.alloc(LARGE_BYTES - 1));
    expect(await readAnswer(arriving)).toEqual(`complete ${LARGE_BYTES}`);
    expect(memoryBudget.heldBytes).toEqual(0);
  });

  describe('that stalls', () => {
    it('does not keep others from being read', async () => {
      const stalled = start(LARGE_BYTES);
      stalled.write('b');
      await sleep(STALL_MS);
      expect(await send(OTHER_BYTES)).toEqual(`complete ${OTHER_BYTES}`);
      stalled.on('error', () => undefined).destroy();
    });

    it('is read on once it goes on', async () => {
      const stalled = start(LARGE_BYTES);
      stalled.write('b');
      await sleep(STALL_MS);
      expect(memoryBudget.heldBytes).toEqual(1);
      stalled.write('b');
      await sleep(100);
      expect(memoryBudget.heldBytes).toEqual(LARGE_BYTES);
      stalled.end(Buffer.alloc(LARGE_BYTES - 2));
      expect(await readAnswer(stalled)).toEqual(`complete ${LARGE_BYTES}`);
      expect(memoryBudget.heldBytes).toEqual(0);
    });

    it('is refused when it goes on while there is no room', async () => {
      const stalled = start(LARGE_BYTES);
      stalled.write('b');
      await sleep(STALL_MS);
      const other = start(OTHER_BYTES);
      other.write('b');
      await sleep(100);
      stalled.end(Buffer.alloc(LARGE_BYTES - 1));
      expect(await readAnswer(stalled)).toEqual('memoryShort 0');
      other.end(Buffer.alloc(OTHER_BYTES - 1));
      expect(await readAnswer(other)).toEqual(`complete ${OTHER_BYTES}`);
    });
  });
});
