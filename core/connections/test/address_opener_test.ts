import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {createAddressOpener} from '../src/index.js';

const HOST = '127.0.0.1';

/** Address of a network for documentation, which no interface has. */
const FOREIGN_HOST = '192.0.2.1';

/** Time for which an address is taken, in milliseconds. */
const TAKEN_MS = 250;

describe('createAddressOpener', () => {
  let servers: Server[] = [];
  let lines: string[] = [];
  afterEach(() => {
    servers.forEach(server => server.close());
    servers = [];
    lines = [];
  });

  const logger = createLogger({
    level: 'info',
    write: line => lines.push(line),
  });
  const createTestServer = () => {
    const server = createServer();
    servers.push(server);
    return server;
  };
  const takePort = async () => {
    const server = createTestServer().listen(0, HOST);
    await once(server, 'listening');
    return {server, port: (server.address() as AddressInfo).port};
  };
  const events = () =>
    lines.map(line => /event=(\w+) purpose=(\w+)/.exec(line)?.slice(1, 3));

  describe('of an address that is taken for a time', () => {
    it('listens when the address is free again', async () => {
      const {server, port} = await takePort();
      const addresses = createAddressOpener({logger, limitMs: 5_000});
      const opened = addresses.listen('callers', createTestServer(), {
        host: HOST,
        port,
      });
      await sleep(TAKEN_MS);
      server.close();
      await opened;
      expect(events()).toEqual([
        ['address_waiting', 'callers'],
        ['address_opened', 'callers'],
      ]);
      expect(/^callers:\d+$/.test(addresses.waits)).toEqual(true);
    });

    it('binds a datagram socket when the address is free again', async () => {
      const holder = createSocket('udp4').bind(0, HOST);
      await once(holder, 'listening');
      const {port} = holder.address();
      const socket = createSocket('udp4');
      const addresses = createAddressOpener({logger, limitMs: 5_000});
      const opened = addresses.bind('peerDatagrams', socket, {
        host: HOST,
        port,
      });
      await sleep(TAKEN_MS);
      holder.close();
      await opened;
      expect(socket.address().port).toEqual(port);
      socket.close();
    });
  });

  describe('of an address that never comes', () => {
    it('rejects after the limit and names purpose and address', async () => {
      const {port} = await takePort();
      const addresses = createAddressOpener({logger, limitMs: TAKEN_MS});
      const startedAtMs = performance.now();
      await expect(
        addresses.listen('metrics', createTestServer(), {host: HOST, port}),
      ).toBeRejectedWith(`the address for metrics, ${HOST}:${port}, is not`);
      expect(performance.now() - startedAtMs >= TAKEN_MS).toEqual(true);
      expect(events().at(-1)).toEqual(['address_given_up', 'metrics']);
    });

    it('waits for the addresses of all servers within the same limit', async () => {
      const {port} = await takePort();
      const addresses = createAddressOpener({logger, limitMs: TAKEN_MS});
      const startedAtMs = performance.now();
      for (const purpose of ['peers', 'callers'] as const) {
        await expect(
          addresses.listen(purpose, createTestServer(), {host: HOST, port}),
        ).toBeRejected();
      }
      expect(performance.now() - startedAtMs < 2 * TAKEN_MS).toEqual(true);
    });

    it('waits for an address that no interface has', async () => {
      const addresses = createAddressOpener({logger, limitMs: TAKEN_MS});
      await expect(
        addresses.listen('callers', createTestServer(), {
          host: FOREIGN_HOST,
          port: 18_740,
        }),
      ).toBeRejectedWith('EADDRNOTAVAIL');
      expect(events()[0]).toEqual(['address_waiting', 'callers']);
    });

    it('rejects with the reason of the signal that ends the wait', async () => {
      const {port} = await takePort();
      const controller = new AbortController();
      const addresses = createAddressOpener({
        logger,
        limitMs: 60_000,
        signal: controller.signal,
      });
      const opened = addresses.listen('callers', createTestServer(), {
        host: HOST,
        port,
      });
      const reason = opened.catch((error: unknown) => error);
      await sleep(TAKEN_MS);
      controller.abort();
      expect(await reason).toEqual(controller.signal.reason);
    });
  });

  it('rejects at once for an error that does not pass', async () => {
    const addresses = createAddressOpener({logger, limitMs: 60_000});
    await expect(
      addresses.open('callers', {host: HOST, port: 1}, () =>
        Promise.reject(new Error('EACCES')),
      ),
    ).toBeRejectedWith('EACCES');
    expect(lines).toEqual([]);
  });
});
