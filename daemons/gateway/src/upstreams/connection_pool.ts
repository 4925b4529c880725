import {connect, type Socket} from 'node:net';
import type {Clock} from '@sardinestile/types';
import {
  RESET_BY_UPSTREAM_CODE,
  withPacedResponses,
  withReliableEnds,
  type ResponseProgress,
} from '@sardinestile/upstream_connections';
import {Client, type buildConnector} from 'undici';

/** Time limit for connecting to an upstream, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Time after which an idle connection is closed if the upstream announces no
 * limit, in milliseconds.
 */
const DEFAULT_IDLE_TIMEOUT_MS = 8_000;

/**
 * Time before the upstream's announced limit at which an idle connection is
 * closed, in milliseconds.
 */
const IDLE_TIMEOUT_MARGIN_MS = 600;

/** Delay of the first TCP keep-alive probe, in milliseconds. */
const TCP_KEEP_ALIVE_MS = 1_000;

/**
 * Time for which reuse of idle connections is limited after one was found
 * stale, in milliseconds.
 */
const IDLE_REUSE_LIMIT_DURATION_MS = 30_000;

/**
 * Longest idle time for reuse while it is limited, as a share of the stale
 * connection's idle time.
 */
const IDLE_REUSE_SHARE = 0.8;

/** How the upstream's side of a connection stands. */
export type UpstreamSide =
  /** It may send more. */
  | 'open'
  /** It was closed in order, after all that was sent. */
  | 'closed'
  /** It was reset, and what was sent last may be lost. */
  | 'reset';

/** A connection to an upstream that carries one request at a time. */
export interface UpstreamConnection {
  readonly client: Client;
  /** Whether no request was sent over the connection before. */
  readonly isFresh: boolean;
  /** Time that the connection was idle before this use, in milliseconds. */
  readonly idleMs: number;
  /** Reports that the upstream had closed the connection while it was idle. */
  reportStale(): void;
  upstreamSide(): UpstreamSide;
  /** Returns the bytes of requests that the system has not taken. */
  unsentBytes(): number;
  /**
   * Records a new request, the head of its final response or a part of its body; an upstream
   * that sends much else loses the connection.
   */
  recordProgress(): void;
  /**
   * Returns the connection to the pool, unless it ends with this response, its request was
   * not taken whole or more bytes follow the response.
   */
  release(): void;
  destroy(): void;
}

/** Pool of connections to upstreams, by address. */
export interface ConnectionPool {
  /**
   * Returns an idle connection or a new one, or undefined at the limit. If
   * `canRetry` is false, it returns no idle connection that may be stale.
   */
  acquire(
    address: string,
    limit: number,
    canRetry: boolean,
  ): UpstreamConnection | undefined;
  /** Whether `acquire` has a connection for a request that can be retried. */
  canAcquire(address: string, limit: number): boolean;
  /** Closes idle connections to all addresses but these. */
  retain(addresses: ReadonlySet<string>): void;
  counts(): {open: number; idle: number};
  close(): void;
}

interface PooledConnection {
  client: Client;
  socket: Socket | undefined;
  progress: ResponseProgress | undefined;
  isOpen: boolean;
  upstreamSide: UpstreamSide;
  requestCount: number;
  idleSinceMs: number;
}

interface AddressPool {
  /** Ordered by last use; the most recently used one is at the end. */
  idle: PooledConnection[];
  open: number;
}

/** Creates an empty pool. `onOpened` is called for each new connection. */
export function createConnectionPool(
  clock: Clock,
  onOpened: (address: string) => void,
): ConnectionPool {
  const pools = new Map<string, AddressPool>();
  /** Longest idle time for reuse without retries, and the time until which it applies. */
  let maxReusableIdleMs = Infinity;
  let idleReuseLimitUntilMs = -Infinity;

  const limitIdleReuse = (idleMs: number) => {
    const nowMs = clock.monotonicMs();
    if (nowMs >= idleReuseLimitUntilMs) maxReusableIdleMs = Infinity;
    maxReusableIdleMs = Math.min(maxReusableIdleMs, IDLE_REUSE_SHARE * idleMs);
    idleReuseLimitUntilMs = nowMs + IDLE_REUSE_LIMIT_DURATION_MS;
  };
  /** Takes the most recently used idle connection, unless it may be stale. */
  const takeIdle = (pool: AddressPool, canRetry: boolean) => {
    const nowMs = clock.monotonicMs();
    const last = pool.idle.at(-1);
    if (!last) return undefined;
    const canReuse =
      canRetry ||
      nowMs >= idleReuseLimitUntilMs ||
      nowMs - last.idleSinceMs < maxReusableIdleMs;
    if (canReuse) return pool.idle.pop();
    // The other connections have been idle for even longer.
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
  const openConnection = (address: string, pool: AddressPool) => {
    const connection: Omit<PooledConnection, 'client'> = {
      socket: undefined,
      progress: undefined,
      isOpen: true,
      upstreamSide: 'open',
      requestCount: 0,
      idleSinceMs: 0,
    };
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
      connect: withPacedResponses(withReliableEnds(createConnector()), {
        onConnected(socket, progress) {
          pooled.socket = socket;
          pooled.progress = progress;
          socket.once('end', () => (pooled.upstreamSide = 'closed'));
          socket.once('error', ({code}: NodeJS.ErrnoException) => {
            if (code === RESET_BY_UPSTREAM_CODE) pooled.upstreamSide = 'reset';
          });
        },
      }),
    });
    const pooled: PooledConnection = Object.assign(connection, {client});
    pool.open++;
    onOpened(address);
    client.on('disconnect', () => discard(pool, pooled));
    client.on('connectionError', () => discard(pool, pooled));
    return pooled;
  };
  const keepIfUsable = (pool: AddressPool, connection: PooledConnection) => {
    const {socket, client, isOpen} = connection;
    if (!isOpen) return;
    const isUsable =
      socket?.destroyed === false &&
      // The upstream may have answered before it had taken the request.
      socket.writableLength === 0 &&
      !client.destroyed;
    if (!isUsable) {
      discard(pool, connection);
      return;
    }
    connection.idleSinceMs = clock.monotonicMs();
    pool.idle.push(connection);
  };
  return {
    acquire(address, limit, canRetry) {
      const pool = poolOf(address);
      let connection = takeIdle(pool, canRetry);
      if (!connection && pool.open >= limit) return undefined;
      connection ??= openConnection(address, pool);
      const taken = connection;
      const isFresh = taken.requestCount++ === 0;
      const idleMs = isFresh ? 0 : clock.monotonicMs() - taken.idleSinceMs;
      return {
        client: taken.client,
        isFresh,
        idleMs,
        reportStale: () => limitIdleReuse(idleMs),
        upstreamSide: () => taken.upstreamSide,
        unsentBytes: () => taken.socket?.writableLength ?? 0,
        recordProgress: () => taken.progress?.record(),
        // Once undici has parsed what has arrived, it has destroyed the socket if the
        // response ends its connection or something follows the response.
        release: () => process.nextTick(() => keepIfUsable(pool, taken)),
        destroy: () => discard(pool, taken),
      };
    },
    canAcquire(address, limit) {
      const pool = pools.get(address);
      return !pool || pool.idle.length > 0 || pool.open < limit;
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

/** Creates a connector with its own timeout, as undici's timer is too coarse for it. */
function createConnector(): buildConnector.connector {
  return ({hostname, port}, callback) => {
    const socket = connect({
      host: hostname,
      port: Number(port),
      noDelay: true,
      allowHalfOpen: true,
    });
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
  };
}
