import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {canWait} from './can_wait.js';
import type {
  ConnectionEnd,
  ConnectionEndReason,
  PeerEnd,
} from './connection_end.js';
import {wasBrokenOff} from './fail_request.js';
import {bodyBytes, messageBytes} from './message_size.js';
import {skipInput, stopParsing} from './stop_parsing.js';

/** Time for which a peer may read its last response and close, in milliseconds. */
const LINGER_MS = 1_000;

/** Time without a request from which a connection counts as idle, in milliseconds. */
const MIN_IDLE_MS = 500;

/** Time without new bytes from which a request that has not arrived whole is given up, in milliseconds. */
const MAX_PARTIAL_IDLE_MS = 3_000;

/** Requests that may be dropped on a connection before its parser is stopped. */
const MAX_DROPPED_REQUESTS = 32;

/** How a connection serves a request. */
export interface ReceiveOptions {
  /** Called once all requests before it on the connection were answered. */
  serve: RequestListener;
  /** Whether its response announces the end of the connection, unless another request follows. */
  announcesEnd: boolean;
  /** Whether there is enough memory for it to wait behind other requests. */
  mayWait: boolean;
}

/** What a connection tells its server. */
export interface ConnectionObserver {
  /**
   * Called for each request that is taken or dropped; what it returns is called once the
   * response was sent or the connection has ended, whatever its place in the line.
   */
  onTaken: (request: IncomingMessage) => () => void;
  /** Called for each request that is not served, as a response before it announces the end. */
  onUnanswerable: (request: IncomingMessage) => void;
}

/** A connection of an HTTP server. */
export interface Connection {
  /** Responses to taken requests that the operating system has not taken whole, in order. */
  openResponses(): ServerResponse[];
  /**
   * Whether all that was read is parsed and all responses were sent, and the peer had its time
   * to read them if it ends.
   */
  readonly isSettled: boolean;
  /** Whether input that may hold requests waits to be parsed. */
  readonly hasWaitingInput: boolean;
  /** Bytes of a request of which the headers have not arrived whole; 0 once its end was announced. */
  readonly partialRequestBytes: number;
  /**
   * Takes a request and serves it after those before it, or drops it if the peer learns
   * from the responses before it that it was not run.
   */
  receive(
    request: IncomingMessage,
    response: ServerResponse,
    options: ReceiveOptions,
  ): void;
  /**
   * Gives up what arrives from now on, as it cannot be parsed or does not go on; the requests
   * that have arrived whole are answered, then the connection ends. Returns false, and does
   * nothing, if there is none.
   */
  giveUpInput(): boolean;
  /** Lets the newest response from now on announce the end. */
  expire(): void;
  /** Ends it without reading on, unless something is open or arriving on it. */
  endIfIdle(): void;
  /** States that what is open on it has to end now; its end counts as caused by that. */
  markDrainLimit(): void;
  /** Ends it at once, with what is on it. */
  destroy(): void;
  /** Ends it at once, as too much input waits in the process or its heap is full. */
  shed(): void;
  /** Gives back what its requests hold after it has closed, and returns what they were. */
  close(): ConnectionEnd;
}

/** Takes over a connection that a server has accepted. */
export function createConnection(
  socket: Socket,
  {onTaken, onUnanswerable}: ConnectionObserver,
): Connection {
  const peer = `${socket.remoteAddress}:${socket.remotePort}`;
  /** Open responses in order, with what is called once they are over. */
  const responses = new Map<ServerResponse, () => void>();
  /** Response that announces the end because of `announceEnd`. */
  let announcer: ServerResponse | undefined;
  /** Requests taken behind the one that is being served, in order. */
  const waiting: Array<{response: ServerResponse; serve: RequestListener}> = [];
  /** Gives back what dropped requests hold. */
  const releaseDropped: Array<() => void> = [];
  /** Whether no more requests are taken, as the newest one taken announces the end. */
  let isLineClosed = false;
  let isOverrun = false;
  let isExpired = false;
  let reason: ConnectionEndReason | undefined;
  let peerEnd: PeerEnd | undefined;
  let isDrainLimitPassed = false;
  let unsentBytes = 0;
  let bytesReadAtLastUse = 0;
  let lastUsedAtMs = performance.now();
  let lastBytesRead = 0;
  let lastBytesAtMs = lastUsedAtMs;

  const waitingRequests = () => waiting.map(({response}) => response.req);
  const recordUse = () => {
    bytesReadAtLastUse = socket.bytesRead;
    lastUsedAtMs = performance.now();
  };
  /** Bytes that have arrived since the last use, or that wait to be parsed. */
  const newBytes = () =>
    Math.max(socket.bytesRead - bytesReadAtLastUse, socket.readableLength);
  const partialRequestBytes = () => (responses.size === 0 ? newBytes() : 0);
  const hasPartialRequest = () => partialRequestBytes() > 0;
  const hasWaitingInput = () =>
    reason === undefined && !isLineClosed && socket.readableLength > 0;
  const isIdle = () => {
    const nowMs = performance.now();
    if (socket.bytesRead !== lastBytesRead) {
      lastBytesRead = socket.bytesRead;
      lastBytesAtMs = nowMs;
    }
    if (responses.size > 0 || nowMs - lastUsedAtMs < MIN_IDLE_MS) return false;
    return !hasPartialRequest() || nowMs - lastBytesAtMs > MAX_PARTIAL_IDLE_MS;
  };
  const release = (response: ServerResponse) => {
    responses.get(response)?.();
    responses.delete(response);
  };
  const hasAnnouncedEnd = () =>
    reason !== undefined ||
    [...responses.keys()].some(r => r.headersSent && !r.shouldKeepAlive);
  const end = (why: ConnectionEndReason) => {
    if (reason !== undefined) return;
    reason = why;
    for (const {response} of waiting.splice(0)) {
      release(response);
      onUnanswerable(response.req);
    }
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
    socket.once('close', () => clearTimeout(timer));
  };
  const announceEnd = () => {
    const newest = [...responses.keys()].at(-1);
    if (!newest || newest.headersSent || !newest.shouldKeepAlive) return;
    newest.shouldKeepAlive = false;
    announcer = newest;
  };
  /**
   * Drops a request and all that follows. Reading goes on, so that a peer that leaves is
   * noticed, but without the parser, which keeps each request until the connection ends. Those
   * that had arrived with it are parsed nonetheless, until they are too many to be kept.
   */
  const drop = (request: IncomingMessage, isMemoryShort: boolean) => {
    if (socket.destroyed) return;
    onUnanswerable(request);
    request.headers = {};
    request.rawHeaders = [];
    releaseDropped.push(onTaken(request));
    if (isOverrun) {
      // The parser was not stopped.
      socket.destroy();
      return;
    }
    const limit = isMemoryShort ? 1 : MAX_DROPPED_REQUESTS;
    if (releaseDropped.length > limit) {
      isOverrun = true;
      stopParsing(socket);
    }
    request.resume();
    skipInput(socket);
  };
  /** Takes no more requests, unless the newest response is being sent and cannot tell. */
  const closeLine = () => {
    announceEnd();
    isLineClosed = ![...responses.keys()].at(-1)?.shouldKeepAlive;
  };
  /**
   * Takes no more requests behind one that asks for an upgrade: node:http loses what it has
   * read behind it, and takes what follows for a request. Goes on if nothing came with it, as
   * its end among the bytes that were read tells.
   */
  const closeLineAfterUpgrade = (
    request: IncomingMessage,
    response: ServerResponse,
    endBytes: number,
  ) => {
    announceEnd();
    isLineClosed = true;
    if (bodyBytes(request) === 0) skipInput(socket);
    else {
      request.once('end', () => {
        if (socket.bytesRead !== endBytes) skipInput(socket);
        else if (!response.headersSent && releaseDropped.length === 0) {
          isLineClosed = false;
          if (isExpired || announcer !== response) return;
          announcer = undefined;
          response.shouldKeepAlive = true;
        }
      });
    }
  };
  const serveNext = () => {
    const next = waiting.shift();
    if (next && !socket.destroyed) next.serve(next.response.req, next.response);
  };
  const findReason = () => {
    if (reason === 'answered' && isOverrun) return 'overrun';
    if (reason !== undefined) return reason;
    if (isDrainLimitPassed) return 'drainLimit';
    return [...responses.keys()].some(wasBrokenOff) ? 'brokenOff' : 'other';
  };
  socket.once('end', () => (peerEnd ??= 'closed'));
  socket.once('error', () => (peerEnd = 'reset'));
  // node:http calls this after a response that announced the end. Its own way closes the
  // connection at once, and bytes that the peer still sends would then reset it before
  // the peer has read its response.
  socket.destroySoon = () => end('answered');
  return {
    openResponses: () => [...responses.keys()],
    get isSettled() {
      return (
        responses.size === 0 && !hasWaitingInput() && reason !== 'answered'
      );
    },
    get hasWaitingInput() {
      return hasWaitingInput();
    },
    get partialRequestBytes() {
      // What arrives after an announced end is dropped.
      return reason === undefined ? partialRequestBytes() : 0;
    },
    receive(request, response, {serve, announcesEnd, mayWait}) {
      const isFirst = responses.size === 0;
      if (!isFirst && !(mayWait && canWait(request, waitingRequests()))) {
        closeLine();
      }
      if (isLineClosed || hasAnnouncedEnd()) {
        drop(request, !mayWait);
        return;
      }
      if (announcer) announcer.shouldKeepAlive = true;
      announcer = undefined;
      const startBytes = bytesReadAtLastUse;
      recordUse();
      responses.set(response, onTaken(request));
      // node:http may end such a connection without a change of shouldKeepAlive.
      if (request.httpVersion === '1.0') response.shouldKeepAlive = false;
      request.once('close', recordUse);
      response.once('finish', () => {
        release(response);
        recordUse();
        serveNext();
        // A response that had begun could not announce the end.
        if (isLineClosed && responses.size === 0) end('answered');
      });
      if (announcesEnd) isExpired = true;
      if (isExpired) announceEnd();
      if (request.headers.upgrade !== undefined) {
        const endBytes = startBytes + messageBytes(request);
        const isAlone = isFirst && socket.bytesRead === endBytes;
        if (!isAlone) closeLineAfterUpgrade(request, response, endBytes);
      }
      if (isFirst) serve(request, response);
      else waiting.push({response, serve});
    },
    giveUpInput() {
      const [first] = responses.keys();
      if (!first?.req.complete) return false;
      const newest = waiting.at(-1);
      if (newest && !newest.response.req.complete) {
        waiting.pop();
        release(newest.response);
        onUnanswerable(newest.response.req);
      }
      announceEnd();
      isLineClosed = true;
      skipInput(socket);
      return true;
    },
    expire() {
      isExpired = true;
      announceEnd();
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
    shed() {
      reason ??= 'shed';
      socket.destroy();
    },
    close() {
      const openRequests = [...responses.keys()].map(({req}) => req);
      const held: ConnectionEnd = {
        reason: findReason(),
        peer,
        peerEnd,
        openRequests,
        incompleteRequests: openRequests.filter(({complete}) => !complete)
          .length,
        isResponseCut: [...responses.keys()].some(r => r.headersSent),
        unsentBytes,
        partialRequestBytes: partialRequestBytes(),
        idleMs: Math.round(performance.now() - lastUsedAtMs),
      };
      waiting.length = 0;
      [...responses.keys()].forEach(release);
      releaseDropped.forEach(releaseOne => releaseOne());
      return held;
    },
  };
}
