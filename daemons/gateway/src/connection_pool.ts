import {connect} from 'node:net';
import type {Clock} from '@sardinestile/types';
import {Client, type buildConnector} from 'undici';

/** Time within which an upstream has to accept a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/** Time an idle connection is kept where the upstream names no limit, in milliseconds. */
const KEEP_ALIVE_MS = 8_000;

/** Time before the upstream's own limit at which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 600;

/** Delay of the first TCP keep-alive probe, in milliseconds. */
const TCP_KEEP_ALIVE_MS = 1_000;

/** Time for which rested connections are not trusted after one was found forgotten, in milliseconds. */
const DISTRUST_MS = 30_000;

/** Share of the rest after which a connection was found forgotten that is still trusted. */
const TRUSTED_REST_SHARE = 0.8;

/** One connection to an upstream; carries one request at a time. */
export interface UpstreamConnection {
  readonly client: Client;
  /** Whether it has carried no request yet. */
  readonly isFresh: boolean;
  /** Time for which it rested before, in milliseconds. */
  readonly restedMs: number;
  /** Notes that the upstream had forgotten it while it rested. */
  noteForgotten(): void;
  /**
   * Whether it was reset. undici takes what came before as a whole answer if the
   * answer has no length.
   */
  wasReset(): boolean;
  /** Gives it back for another request, if it is still open. */
  release(): void;
  destroy(): void;
}

/** Connections to upstreams by address. */
export interface ConnectionPool {
  /**
   * An open idle connection, or a new one; undefined at the limit. Where a lost
   * request cannot be sent again, none that may have been forgotten.
   */
  acquire(
    address: string,
    limit: number,
    mayRepeat: boolean,
  ): UpstreamConnection | undefined;
  /** Closes idle connections to addresses that are no longer used. */
  retain(addresses: ReadonlySet<string>): void;
  counts(): {open: number; idle: number};
  close(): void;
}

interface PooledConnection {
  client: Client;
  isOpen: boolean;
  wasReset: boolean;
  uses: number;
  restingSinceMs: number;
}

interface AddressPool {
  /** Used last at the end. */
  idle: PooledConnection[];
  open: number;
}

/** Makes an empty pool. Onward `onOpened` is told of each new connection. */
export function createConnectionPool(
  clock: Clock,
  onOpened: (address: string) => void,
): ConnectionPool {
  const pools = new Map<string, AddressPool>();
  /** Longest rest after which a connection is trusted, and until when that holds. */
  let trustedRestMs = Infinity;
  let distrustUntilMs = -Infinity;

  const distrust = (restedMs: number) => {
    const nowMs = clock.monotonicMs();
    if (nowMs >= distrustUntilMs) trustedRestMs = Infinity;
    trustedRestMs = Math.min(trustedRestMs, TRUSTED_REST_SHARE * restedMs);
    distrustUntilMs = nowMs + DISTRUST_MS;
  };
  /** The idle connection that was used last, unless it may have been forgotten. */
  const takeIdle = (pool: AddressPool, mayRepeat: boolean) => {
    const nowMs = clock.monotonicMs();
    const last = pool.idle.at(-1);
    if (!last) return undefined;
    const isTrusted =
      mayRepeat ||
      nowMs >= distrustUntilMs ||
      nowMs - last.restingSinceMs < trustedRestMs;
    if (isTrusted) return pool.idle.pop();
    // The others rested longer.
    [...pool.idle].forEach(connection => discard(pool, connection));
    return undefined;
  };

  const poolOf = (address: string) => {
    let pool = pools.get(address);
    if (!pool) pools.set(address, (pool = {idle: [], open: 0}));
    return pool;
  };
  const discard = (pool: AddressPool, connection: PooledConnection) => {
    if (!connection.isOpen) return;
    connection.isOpen = false;
    pool.open--;
    const at = pool.idle.indexOf(connection);
    if (at >= 0) pool.idle.splice(at, 1);
    void connection.client.destroy();
  };
  const open = (address: string, pool: AddressPool) => {
    const connection: Omit<PooledConnection, 'client'> = {
      isOpen: true,
      wasReset: false,
      uses: 0,
      restingSinceMs: 0,
    };
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: createConnector(() => (connection.wasReset = true)),
    });
    const pooled: PooledConnection = Object.assign(connection, {client});
    pool.open++;
    onOpened(address);
    client.on('disconnect', () => discard(pool, pooled));
    client.on('connectionError', () => discard(pool, pooled));
    return pooled;
  };
  return {
    acquire(address, limit, mayRepeat) {
      const pool = poolOf(address);
      let connection = takeIdle(pool, mayRepeat);
      if (!connection && pool.open >= limit) return undefined;
      connection ??= open(address, pool);
      const taken = connection;
      const isFresh = taken.uses++ === 0;
      const restedMs = isFresh ? 0 : clock.monotonicMs() - taken.restingSinceMs;
      return {
        client: taken.client,
        isFresh,
        restedMs,
        noteForgotten: () => distrust(restedMs),
        wasReset: () => taken.wasReset,
        release() {
          if (!taken.isOpen || taken.client.destroyed) return;
          taken.restingSinceMs = clock.monotonicMs();
          pool.idle.push(taken);
        },
        destroy: () => discard(pool, taken),
      };
    },
    retain(addresses) {
      for (const [address, pool] of pools) {
        if (addresses.has(address)) continue;
        [...pool.idle].forEach(connection => discard(pool, connection));
        if (pool.open === 0) pools.delete(address);
      }
    },
    counts() {
      let openCount = 0;
      let idleCount = 0;
      for (const {open: count, idle} of pools.values()) {
        openCount += count;
        idleCount += idle.length;
      }
      return {open: openCount, idle: idleCount};
    },
    close() {
      for (const pool of pools.values()) {
        [...pool.idle].forEach(connection => discard(pool, connection));
      }
    },
  };
}

/** Connects within the timeout; undici's own timer is too coarse for it. */
function createConnector(onReset: () => void): buildConnector.connector {
  return ({hostname, port}, callback) => {
    const socket = connect({host: hostname, port: Number(port), noDelay: true});
    const timer = setTimeout(() => {
      const message = `no connection within ${CONNECT_TIMEOUT_MS} ms`;
      socket.destroy(new Error(message));
    }, CONNECT_TIMEOUT_MS);
    const onConnect = () => {
      clearTimeout(timer);
      socket.off('error', onError);
      socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
      callback(null, socket);
    };
    const onError = (error: Error) => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('connect', onConnect);
    socket.once('error', onError);
    socket.on('error', onReset);
  };
}
