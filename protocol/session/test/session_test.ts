import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  openSession,
  startSessionServer,
  type ConfigPush,
  type EntryBody,
  type ReceivedEntryBody,
  type Session,
  type SessionServer,
} from '../src/index.js';

const HOST = '127.0.0.1';
const HEARTBEAT_INTERVAL_MS = 100;
const TIMEOUT_MS = 2_000;

/** Attempt id whose message the server's handler fails on. */
const UNUSABLE_ID = 'unusable';

/** A TCP relay that can stall its existing connections while new ones work. */
interface StallingRelay {
  port: number;
  stallExisting(): void;
  close(): void;
}

async function startRelay(targetPort: number): Promise<StallingRelay> {
  const sockets = new Set<Socket>();
  const server = createServer(client => {
    const target = connect(targetPort, HOST);
    client.pipe(target);
    target.pipe(client);
    for (const socket of [client, target]) {
      socket.on('error', () => {});
      sockets.add(socket);
    }
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return {
    port: (server.address() as AddressInfo).port,
    stallExisting: () =>
      sockets.forEach(socket => {
        socket.unpipe();
        socket.pause();
      }),
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

describe('openSession', () => {
  const received: ReceivedEntryBody[] = [];
  const serverCloses: string[] = [];
  let server: SessionServer;
  let relay: StallingRelay;

  before(async () => {
    server = await startSessionServer({
      host: HOST,
      port: 0,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      timeoutMs: TIMEOUT_MS,
      pullConfig: () => ({}) as ConfigPush,
      accept: () => ({
        onMessage(body) {
          if (
            body.case === 'withdraw' &&
            body.value.attemptId === UNUSABLE_ID
          ) {
            throw new Error('unusable');
          }
          received.push(body);
        },
        onClose: reason => serverCloses.push(reason),
      }),
    });
    relay = await startRelay(server.port);
  });
  after(async () => {
    relay.close();
    await server.close();
  });

  function open(): {session: Session<EntryBody>; closed: Promise<string>} {
    let onClose: (reason: string) => void;
    const closed = new Promise<string>(resolve => (onClose = resolve));
    const session = openSession({
      address: `${HOST}:${relay.port}`,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      timeoutMs: TIMEOUT_MS,
      handlers: {
        onMessage: () => {},
        onClose: reason => onClose(reason),
        heartbeat: () => ({}),
      },
    });
    return {session, closed};
  }

  async function waitForWithdraw(attemptId: string): Promise<void> {
    const isReceived = () =>
      received.some(
        body => body.case === 'withdraw' && body.value.attemptId === attemptId,
      );
    while (!isReceived()) await new Promise(resolve => setTimeout(resolve, 10));
  }

  it('closes the session at once when a message cannot be handled', async () => {
    const {session, closed} = open();
    session.send({case: 'withdraw', value: {attemptId: UNUSABLE_ID}});
    await closed;
    const next = open().session;
    next.send({case: 'withdraw', value: {attemptId: 'after'}});
    await waitForWithdraw('after');
    expect(serverCloses.at(-1)).toEqual('a message could not be handled');
    next.close('done');
    received.length = 0;
  });

  it('delivers messages of one event loop turn in order', async () => {
    const {session} = open();
    for (const attemptId of ['m1', 'm2', 'm3']) {
      session.send({case: 'withdraw', value: {attemptId}});
    }
    await waitForWithdraw('m3');
    const ids = received.flatMap(body =>
      body.case === 'withdraw' ? [body.value.attemptId] : [],
    );
    expect(ids).toEqual(['m1', 'm2', 'm3']);
    session.close('done');
  });

  it('closes the session on both sides when its connection stalls', async () => {
    const {session, closed} = open();
    session.send({case: 'withdraw', value: {attemptId: 'before'}});
    await waitForWithdraw('before');
    serverCloses.length = 0;
    relay.stallExisting();
    expect(await closed).toEqual('timed out');
    expect(session.isOpen).toEqual(false);
    while (serverCloses.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(serverCloses).toEqual(['timed out']);
  });

  it('opens a session on a new connection while an old connection is stalled', async () => {
    const {session} = open();
    session.send({case: 'withdraw', value: {attemptId: 'after'}});
    await waitForWithdraw('after');
    session.close('done');
  });
});
