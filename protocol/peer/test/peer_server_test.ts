import {Agent, request as httpRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createAddressOpener} from '@sardinestile/connections';
import {expect} from 'earl';
import {
  CONFIG_PATH,
  createPeerServer,
  FLEET_HEADER,
  USAGE_PATH,
  type PeerServer,
  type PeerServerOptions,
} from '../src/index.js';

const HOST = '127.0.0.1';
const FLEET = 'fleet';

/** Limit within which a server must close whatever its handlers do, in milliseconds. */
const CLOSE_LIMIT_MS = 1_000;

const USAGE = JSON.stringify({source: 's', windowId: '1', sums: {}});

/** A promise, the function that resolves it, and whether something waits for it. */
function createGate() {
  let open!: () => void;
  const opened = new Promise<void>(resolve => (open = resolve));
  let enter!: () => void;
  const entered = new Promise<void>(resolve => (enter = resolve));
  return {
    open,
    entered,
    async pass() {
      enter();
      await opened;
    },
  };
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

describe('createPeerServer', () => {
  const agent = new Agent({keepAlive: true});
  let server: PeerServer;
  let port: number;
  let gate: ReturnType<typeof createGate>;
  beforeEach(async () => {
    gate = createGate();
    port = await findFreePort();
    const options: Partial<PeerServerOptions> = {
      host: HOST,
      port,
      fleetId: () => FLEET,
      async getConfirmedConfig() {
        await gate.pass();
        return undefined;
      },
      storeUsage: () => gate.pass(),
    };
    server = createPeerServer(options as PeerServerOptions);
    await server.open(createAddressOpener());
  });
  afterEach(async () => {
    gate.open();
    await server.close();
    agent.destroy();
  });

  /** Sends a request; resolves with the status, or rejects if the connection ends without one. */
  function send(method: string, path: string, body?: string): Promise<number> {
    return new Promise((resolve, reject) => {
      const request = httpRequest(
        {
          host: HOST,
          port,
          method,
          path,
          agent,
          headers: {[FLEET_HEADER]: FLEET},
        },
        response => {
          response.resume().once('end', () => resolve(response.statusCode!));
        },
      );
      request.once('error', reject).end(body);
    });
  }

  for (const target of ['//', '//:', 'http://[::1', 'http://h:99999/']) {
    it(`answers 404 instead of ending the process when the target is ${target}`, async () => {
      expect(await send('GET', target)).toEqual(404);
      expect(await send('GET', '/unknown')).toEqual(404);
    });
  }

  describe('while it closes', () => {
    it('answers a long poll with 503 at once instead of resetting it', async () => {
      const status = send('GET', `${CONFIG_PATH}?have=0&waitMs=60000`);
      await gate.entered;
      await server.close();
      expect(await status).toEqual(503);
    });

    it('answers a report of usage that is being stored instead of resetting it', async () => {
      const status = send('POST', USAGE_PATH, USAGE);
      await gate.entered;
      const closed = server.close();
      setTimeout(gate.open, 50);
      expect(await status).toEqual(200);
      await closed;
    });

    it('refuses a request on a kept connection while another one is answered', async () => {
      await Promise.all([send('GET', '/unknown'), send('GET', '/unknown')]);
      const stored = send('POST', USAGE_PATH, USAGE);
      await gate.entered;
      const closed = server.close();
      const refused = send('GET', `${CONFIG_PATH}?have=0&waitMs=0`);
      expect(await refused).toEqual(503);
      gate.open();
      expect(await stored).toEqual(200);
      await closed;
    });

    it('does not wait for a store that hangs', async () => {
      const status = send('POST', USAGE_PATH, USAGE);
      await gate.entered;
      const startMs = performance.now();
      await Promise.all([server.close(), expect(status).toBeRejected()]);
      expect(performance.now() - startMs < CLOSE_LIMIT_MS).toEqual(true);
    });
  });
});
