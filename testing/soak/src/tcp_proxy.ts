import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

/** What happens to the bytes of a proxy's connections. */
export type ProxyMode =
  | 'pass'
  /** Bytes come late. */
  | 'delay'
  /** Bytes of one direction are lost. */
  | 'cutAnswers'
  /** Open connections go silent for good; new ones work. */
  | 'silenceOpen'
  /** Open connections are reset; new ones work. */
  | 'resetOpen'
  /** New connections are reset, too. */
  | 'refuse';

/** Delay of a proxy in its mode `delay`, in milliseconds. */
const DELAY_MS = 150;

/** A loopback proxy that harms connections. */
export interface TcpProxy {
  readonly port: number;
  setMode(mode: ProxyMode): void;
  close(): Promise<void>;
}

interface ProxiedPair {
  near: Socket;
  far: Socket;
  isSilent: boolean;
}

/** Starts a proxy to a port of this machine. */
export async function startTcpProxy(targetPort: number): Promise<TcpProxy> {
  const pairs = new Set<ProxiedPair>();
  let mode: ProxyMode = 'pass';
  const forward = (pair: ProxiedPair, to: Socket, bytes: Buffer) => {
    if (pair.isSilent) return;
    if (mode === 'cutAnswers' && to === pair.near) return;
    if (mode === 'delay') setTimeout(() => to.write(bytes), DELAY_MS);
    else to.write(bytes);
  };
  const server: Server = createServer(near => {
    if (mode === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(targetPort, '127.0.0.1');
    const pair: ProxiedPair = {near, far, isSilent: false};
    pairs.add(pair);
    const end = () => {
      pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('data', (bytes: Buffer) => forward(pair, far, bytes));
    far.on('data', (bytes: Buffer) => forward(pair, near, bytes));
    for (const socket of [near, far]) {
      socket.on('error', () => undefined);
      socket.on('close', end);
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setMode(next) {
      mode = next;
      for (const pair of pairs) {
        if (next === 'silenceOpen') pair.isSilent = true;
        if (next === 'resetOpen' || next === 'refuse') {
          pair.near.resetAndDestroy();
          pair.far.resetAndDestroy();
        }
      }
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const {near, far} of pairs) {
          near.destroy();
          far.destroy();
        }
      }),
  };
}
