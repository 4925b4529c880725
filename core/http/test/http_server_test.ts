import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {H3} from 'h3';
import {startHttpServer} from '../src/index.js';

const HOST = '127.0.0.1';

describe('startHttpServer', () => {
  it('answers 408 and closes the connection if the request headers are not completed in time', async () => {
    const server = await startHttpServer({
      app: new H3(),
      host: HOST,
      port: 0,
      headersTimeoutMs: 200,
    });
    const socket = connect(server.port, HOST);
    socket.write('GET / HTTP/1.1\r\nhost: h\r\nx-never: ');
    let responseText = '';
    socket.on('data', bytes => (responseText += bytes.toString()));
    await new Promise(resolve => socket.once('close', resolve));
    expect(responseText).toMatchRegex(/^HTTP\/1\.1 408 /);
    server.destroy();
  });

  it('drains only after its open requests have ended', async () => {
    let finishResponse: (text: string) => void;
    const finished = new Promise<string>(resolve => (finishResponse = resolve));
    let markArrived: () => void;
    const arrived = new Promise<void>(resolve => (markArrived = resolve));
    const app = new H3().get('/', () => {
      markArrived();
      return finished;
    });
    const server = await startHttpServer({app, host: HOST, port: 0});
    const response = fetch(`http://${HOST}:${server.port}/`);
    await arrived;
    server.disableKeepAlive();
    const drained = server.drain();
    finishResponse!('whole');
    expect(await (await response).text()).toEqual('whole');
    await drained;
  });
});
