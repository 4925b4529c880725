import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

/** What a proxy does with its connections. */
export type ProxyMode =
  | 'pass'
  /** Delays bytes in both directions. */
  | 'delay'
  /** Drops bytes from the target to the client. */
  | 'cutAnswers'
  /** Drops all later bytes of the open connections; new connections work. */
  | 'silenceOpen'
  /** Resets the open connections; new connections work. */
  | 'resetOpen'
  /** Resets open and new connections. */
  | 'refuse';

/** Delay of bytes in mode `delay`, in milliseconds. */
const DELAY_MS = 150;

/** A TCP proxy on the loopback interface that injects network faults. */
export interface TcpProxy {
  readonly port: number;
  setMode(mode: ProxyMode): void;
  close(): Promise<void>;
}

interface ProxiedConnection {
  client: Socket;
  target: Socket;
  isSilent: boolean;
}

/** Starts a proxy to a local port. */
export async function startTcpProxy(targetPort: number): Promise<TcpProxy> {
  const connections = new Set<ProxiedConnection>();
  let mode: ProxyMode = 'pass';
  const forward = (
    connection: ProxiedConnection,
    to: Socket,
    bytes: Buffer,
  ) => {
    if (connection.isSilent) return;
    if (mode === 'cutAnswers' && to === connection.client) return;
    if (mode === 'delay') setTimeout(() => to.write(bytes), DELAY_MS);
    else to.write(bytes);
  };
  const server: Server = createServer(client => {
    if (mode === 'refuse') {
      client.resetAndDestroy();
      return;
    }
    const target = connect(targetPort, '127.0.0.1');
    const connection: ProxiedConnection = {
      client,
      target,
      isSilent: false,
    };
    connections.add(connection);
    const end = () => {
      connections.delete(connection);
      client.destroy();
      target.destroy();
    };
    client.on('data', (bytes: Buffer) => forward(connection, target, bytes));
    target.on('data', (bytes: Buffer) => forward(connection, client, bytes));
    for (const socket of [client, target]) {
      socket.on('error', () => undefined);
      socket.on('close', end);
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setMode(next) {
      mode = next;
      for (const connection of connections) {
        if (next === 'silenceOpen') connection.isSilent = true;
        if (next === 'resetOpen' || next === 'refuse') {
          connection.client.resetAndDestroy();
          connection.target.resetAndDestroy();
        }
      }
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const {client, target} of connections) {
          client.destroy();
          target.destroy();
        }
      }),
  };
}
