import {connect, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createHostedWorld,
  HOST,
  keyed,
  parseAnswer,
  PATHS,
  waitFor,
  type HostedGateway,
  type HostedWorld,
} from '../src/index.js';

/** A caller's connection that is kept for several requests. */
function openKept(address: string) {
  const [host, port] = address.split(':');
  const socket: Socket = connect(Number(port), host);
  let received = Buffer.alloc(0);
  let isClosed = false;
  socket.on('data', (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
  });
  socket.on('close', () => (isClosed = true));
  socket.on('error', () => undefined);
  return {
    get isClosed() {
      return isClosed;
    },
    async call(path: string, id: string) {
      received = Buffer.alloc(0);
      const headers = Object.entries(keyed(id)).map(([k, v]) => `${k}: ${v}`);
      socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\n${headers.join('\r\n')}\r\n\r\n`,
      );
      await waitFor(
        'the answer',
        () => isClosed || parseAnswer(received).isWhole,
      );
      return parseAnswer(received);
    },
  };
}

describe('a gateway that leaves', () => {
  let world: HostedWorld;
  let front: HostedGateway;
  before(async () => {
    world = await createHostedWorld(2);
    front = await world.startGateway();
  });
  after(() => world.close());

  it('cuts no request, lets kept connections go and refuses late requests truly', async () => {
    const idle = openKept(front.address);
    expect((await idle.call(PATHS.idempotent, 'i1')).status).toEqual(200);
    for (const upstream of world.upstreams) {
      upstream.behave = ({url}) =>
        url === PATHS.stream
          ? {kind: 'stream', events: 50, gapMs: 80}
          : {kind: 'answer'};
    }
    const streaming = openKept(front.address);
    const stream = streaming.call(PATHS.stream, 's1');
    await waitFor('the stream to run', () =>
      world.upstreams.some(({received}) =>
        received.some(r => r.requestId === 's1'),
      ),
    );
    const stopped = front.gateway.stop();
    expect(await front.isReady()).toEqual(false);

    const during = await idle.call(PATHS.idempotent, 'i2');
    expect(during.status).toEqual(200);
    expect(during.headers.connection).toEqual('close');

    const whole = await stream;
    expect(whole.isWhole).toEqual(true);
    expect([...whole.body.matchAll(/data: event/g)].length).toEqual(50);
    await waitFor(
      'the connection of the stream to close',
      () => streaming.isClosed,
    );

    const before = world.upstreams.flatMap(({received}) => received).length;
    const late = openKept(front.address);
    const refused = await late.call(PATHS.idempotent, 'l1');
    expect([0, 503]).toInclude(refused.status);
    const afterwards = world.upstreams.flatMap(({received}) => received).length;
    expect(afterwards).toEqual(before);
    await stopped;
  });
});
