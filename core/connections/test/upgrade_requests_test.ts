import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {MANAGED_SERVER_OPTIONS, manageConnections} from '../src/index.js';

const HOST = '127.0.0.1';

/** Time for which a connection stays open beyond its last response if it is kept, in milliseconds. */
const KEPT_MS = 100;

/** Time within which responses arrive, in milliseconds. */
const RESPONSE_LIMIT_MS = 2_000;

function requestOf(path: string, fields = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n${fields}\r\n`;
}

function upgradeOf(path: string): string {
  return requestOf(path, 'Connection: Upgrade\r\nUpgrade: h2c\r\n');
}

function postUpgradeOf(path: string, framing: string): string {
  return upgradeOf(path)
    .replace('GET', 'POST')
    .replace('\r\n\r\n', `\r\n${framing}\r\n\r\n`);
}

describe('a request that asks for an upgrade', () => {
  let server: Server;
  let peer: Socket;
  let served: string[];
  let received: string;
  let isEnded: boolean;

  beforeEach(async () => {
    const ownServed: string[] = (served = []);
    received = '';
    isEnded = false;
    server = createServer(MANAGED_SERVER_OPTIONS);
    manageConnections(server, {
      async handler(request, response) {
        let body = '';
        for await (const bytes of request) body += String(bytes);
        ownServed.push(`${request.url} ${body}`.trim());
        await sleep(20);
        response.end('a');
      },
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    peer = connect({host: HOST, port, noDelay: true});
    peer.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    peer.on('end', () => (isEnded = true));
    peer.on('error', () => undefined);
    await once(peer, 'connect');
  });
  afterEach(() => {
    peer.destroy();
    server.closeAllConnections();
    server.close();
  });

  const statuses = () =>
    [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
  const announcements = () => received.match(/connection: close/gi) ?? [];
  const waitForResponses = async (count: number) => {
    const endAtMs = performance.now() + RESPONSE_LIMIT_MS;
    while (statuses().length < count && performance.now() < endAtMs) {
      await sleep(5);
    }
  };
  const expectKept = async () => {
    await sleep(KEPT_MS);
    expect(isEnded).toEqual(false);
    expect(announcements()).toEqual([]);
  };
  /** Checks that the last of some responses announced the end, and that it came. */
  const expectEndAfter = async (count: number) => {
    await waitForResponses(count);
    await sleep(KEPT_MS);
    expect(statuses()).toEqual(Array.from({length: count}, () => '200'));
    expect(announcements().length).toEqual(1);
    expect(received.search(/connection: close/i)).toBeGreaterThan(
      received.lastIndexOf('HTTP/1.1'),
    );
    expect(isEnded).toEqual(true);
  };

  describe('that nothing follows', () => {
    it('keeps its connection', async () => {
      peer.write(upgradeOf('/1'));
      await waitForResponses(1);
      peer.write(requestOf('/2'));
      await waitForResponses(2);
      peer.write(upgradeOf('/3'));
      await waitForResponses(3);
      expect(served).toEqual(['/1', '/2', '/3']);
      await expectKept();
    });

    it('keeps its connection with a body that arrives in parts', async () => {
      peer.write(postUpgradeOf('/1', 'Content-Length: 4'));
      await sleep(20);
      peer.write('bo');
      await sleep(20);
      peer.write('dy');
      await waitForResponses(1);
      peer.write(requestOf('/2'));
      await waitForResponses(2);
      expect(served).toEqual(['/1 body', '/2']);
      await expectKept();
    });
  });

  describe('among requests sent without waiting for responses', () => {
    it('announces the end, as what follows is not run', async () => {
      peer.write(requestOf('/1') + upgradeOf('/2') + requestOf('/3'));
      await expectEndAfter(2);
      expect(served).toEqual(['/1', '/2']);
    });

    for (const framing of ['Content-Length: 4', 'Transfer-Encoding: chunked']) {
      it(`announces the end with a body by ${framing}`, async () => {
        const body = framing.includes('chunked')
          ? '4\r\nbody\r\n0\r\n\r\n'
          : 'body';
        peer.write(postUpgradeOf('/1', framing) + body + requestOf('/2'));
        await expectEndAfter(1);
        expect(served).toEqual(['/1 body']);
      });
    }

    it('is answered when the next request arrives in parts', async () => {
      const next = requestOf('/2');
      peer.write(upgradeOf('/1') + next.slice(0, 9));
      await sleep(10);
      peer.write(next.slice(9));
      await expectEndAfter(1);
      expect(served).toEqual(['/1']);
    });

    for (const [kind, upgrade] of [
      ['no body', upgradeOf('/1')],
      ['a body', postUpgradeOf('/1', 'Content-Length: 4') + 'body'],
    ]) {
      it(`runs nothing that the body of the next request holds, with ${kind}`, async () => {
        const hidden = requestOf('/hidden');
        const next = `POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: ${hidden.length + 1}\r\n\r\n`;
        peer.write(`${upgrade}${next}b`);
        await sleep(10);
        peer.write(hidden);
        await expectEndAfter(1);
        expect(served.length).toEqual(1);
      });
    }
  });
});
