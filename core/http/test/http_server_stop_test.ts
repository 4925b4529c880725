import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {H3} from 'h3';
import {startHttpServer, type HttpServer} from '../src/index.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

/** A response that the socket buffers of both sides cannot hold. */
const LARGE_BYTES = 16_000_000;

/** A response that fits into the socket buffers of both sides together, not of the reader. */
const MEDIUM_BYTES = 1_000_000;

/** Time for which a client reads nothing, in milliseconds. */
const PAUSE_MS = 400;

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** A connection that counts the bytes it receives. */
interface Client {
  socket: Socket;
  receivedBytes: number;
  text: string;
  closed: Promise<unknown>;
}

describe('an HTTP server that stops', () => {
  let server: HttpServer;
  let client: Client;
  afterEach(() => {
    client.socket.destroy();
    server.destroy();
  });

  async function start(handler: () => unknown): Promise<void> {
    const app = new H3().get('/', () => handler());
    server = await startHttpServer({app, host: HOST, port: 0});
    const socket = connect(server.port, HOST);
    const closed = new Promise(resolve => socket.once('close', resolve));
    client = {socket, receivedBytes: 0, text: '', closed};
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      client.receivedBytes += bytes.length;
      if (client.text.length < 1_000) client.text += bytes.toString('latin1');
    });
    await once(socket, 'connect');
  }

  it('delivers a response that has ended to a client that reads late', async () => {
    await start(() => new Uint8Array(LARGE_BYTES));
    client.socket.write(REQUEST);
    await once(client.socket, 'data');
    client.socket.pause();
    server.disableKeepAlive();
    const drained = server.drain();
    await delay(PAUSE_MS);
    client.socket.resume();
    await Promise.all([drained, client.closed]);
    expect(client.receivedBytes > LARGE_BYTES).toEqual(true);
  });

  it('delivers a response that announces the close to a client that sends on', async () => {
    await start(() => new Uint8Array(MEDIUM_BYTES));
    server.disableKeepAlive();
    client.socket.pause();
    client.socket.write(REQUEST);
    await delay(PAUSE_MS / 2);
    client.socket.write(REQUEST);
    await delay(PAUSE_MS / 2);
    client.socket.resume();
    await client.closed;
    expect(client.receivedBytes > MEDIUM_BYTES).toEqual(true);
  });

  it('announces the close in the response to a request that was open before', async () => {
    let respond!: (text: string) => void;
    let markArrived!: () => void;
    const response = new Promise<string>(resolve => (respond = resolve));
    const arrived = new Promise<void>(resolve => (markArrived = resolve));
    await start(() => {
      markArrived();
      return response;
    });
    client.socket.write(REQUEST);
    await arrived;
    server.disableKeepAlive();
    respond('whole');
    await client.closed;
    expect(client.text.toLowerCase()).toMatchRegex(/\r\nconnection: close\r\n/);
  });

  it('closes the connections that are left after the limit of the drain', async () => {
    await start(() => new Promise(() => undefined));
    client.socket.write(REQUEST);
    await delay(PAUSE_MS);
    await Promise.all([server.drain(PAUSE_MS), client.closed]);
  });
});
