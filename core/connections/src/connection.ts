import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionEnd, ConnectionEndReason} from './connection_end.js';

/** Time for which a peer may read its last response and close, in milliseconds. */
const LINGER_MS = 1_000;

/** Time without a request from which a connection counts as idle, in milliseconds. */
const MIN_IDLE_MS = 500;

/** Time without new bytes from which a request that has not arrived whole is given up, in milliseconds. */
const MAX_PARTIAL_IDLE_MS = 3_000;

/** A connection of an HTTP server. */
export interface Connection {
  /** Responses to taken requests that the operating system has not taken whole, in order. */
  openResponses(): ServerResponse[];
  /** Whether all responses were sent, and the peer had its time to read them if it ends. */
  readonly isSettled: boolean;
  /** Takes a request; returns false if the end of the connection was announced to the peer. */
  take(response: ServerResponse): boolean;
  /** Lets the newest response that has not begun announce the end. */
  announceEnd(): void;
  /** Ends it without reading on, unless something is open or arriving on it. */
  endIfIdle(): void;
  /** States that what is open on it has to end now; its end counts as caused by that. */
  markDrainLimit(): void;
  /** Ends it at once, with what is on it. */
  destroy(): void;
  /** Returns what it held when it closed. */
  describeEnd(): ConnectionEnd;
}

/** Takes over a connection that a server has accepted. */
export function createConnection(socket: Socket): Connection {
  const peer = `${socket.remoteAddress}:${socket.remotePort}`;
  const responses = new Set<ServerResponse>();
  /** Response that announces the end because of `announceEnd`. */
  let announcer: ServerResponse | undefined;
  let reason: ConnectionEndReason | undefined;
  let isDrainLimitPassed = false;
  let unsentBytes = 0;
  let bytesReadAtLastUse = 0;
  let lastUsedAtMs = performance.now();
  let lastBytesRead = 0;
  let lastBytesAtMs = lastUsedAtMs;

  const recordUse = () => {
    bytesReadAtLastUse = socket.bytesRead;
    lastUsedAtMs = performance.now();
  };
  const hasPartialRequest = () =>
    responses.size === 0 && socket.bytesRead > bytesReadAtLastUse;
  const isIdle = () => {
    const nowMs = performance.now();
    if (socket.bytesRead !== lastBytesRead) {
      lastBytesRead = socket.bytesRead;
      lastBytesAtMs = nowMs;
    }
    if (responses.size > 0 || nowMs - lastUsedAtMs < MIN_IDLE_MS) return false;
    return !hasPartialRequest() || nowMs - lastBytesAtMs > MAX_PARTIAL_IDLE_MS;
  };
  const hasAnnouncedEnd = () =>
    reason !== undefined ||
    [...responses].some(r => r.headersSent && !r.shouldKeepAlive);
  const end = (why: ConnectionEndReason) => {
    if (reason !== undefined) return;
    reason = why;
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
    socket.once('close', () => clearTimeout(timer));
  };
  // node:http calls this after a response that announced the end. Its own way closes the
  // connection at once, and bytes that the peer still sends would then reset it before
  // the peer has read its response.
  socket.destroySoon = () => end('answered');
  return {
    openResponses: () => [...responses],
    get isSettled() {
      return responses.size === 0 && reason !== 'answered';
    },
    take(response) {
      if (hasAnnouncedEnd()) return false;
      if (announcer) announcer.shouldKeepAlive = true;
      announcer = undefined;
      recordUse();
      responses.add(response);
      // node:http may end such a connection without a change of shouldKeepAlive.
      if (response.req.httpVersion === '1.0') response.shouldKeepAlive = false;
      response.req.once('close', recordUse);
      response.once('finish', () => {
        responses.delete(response);
        recordUse();
      });
      return true;
    },
    announceEnd() {
      const newest = [...responses].at(-1);
      if (!newest || newest.headersSent || !newest.shouldKeepAlive) return;
      newest.shouldKeepAlive = false;
      announcer = newest;
    },
    endIfIdle() {
      if (!isIdle()) return;
      socket.pause();
      end('idle');
    },
    markDrainLimit() {
      isDrainLimitPassed = true;
    },
    destroy() {
      isDrainLimitPassed = true;
      unsentBytes = socket.writableLength;
      socket.destroy();
    },
    describeEnd: () => ({
      reason: reason ?? (isDrainLimitPassed ? 'drainLimit' : 'other'),
      peer,
      openRequests: [...responses].map(({req}) => req),
      isResponseCut: [...responses].some(r => r.headersSent),
      unsentBytes,
      partialRequestBytes: hasPartialRequest()
        ? socket.bytesRead - bytesReadAtLastUse
        : 0,
      idleMs: Math.round(performance.now() - lastUsedAtMs),
    }),
  };
}
