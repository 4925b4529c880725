import type {MessageInitShape} from '@bufbuild/protobuf';
import {
  createInputBoundary,
  type InputBoundary,
} from '@sardinestile/connections';
import type {
  AgentMessage,
  AgentMessageSchema,
  EntryMessage,
  EntryMessageSchema,
  HeartbeatSchema,
} from './gen/sardinestile/v1/session_pb.js';

/** Default interval at which each side sends heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 500;

/**
 * Default time without a message from the other side after which a session is
 * closed.
 */
export const SESSION_TIMEOUT_MS = 2_000;

/** Body of a message that an entry sends. */
export type EntryBody = NonNullable<
  MessageInitShape<typeof EntryMessageSchema>['body']
>;

/** Body of a message that an agent sends. */
export type AgentBody = NonNullable<
  MessageInitShape<typeof AgentMessageSchema>['body']
>;

/** Fields of a heartbeat; the session adds the sequence number. */
export type HeartbeatInit = MessageInitShape<typeof HeartbeatSchema>;

/**
 * One side of a session between an entry and an agent. `Out` is the body of the
 * messages that it sends.
 */
export interface Session<Out> {
  /** Queues a message. All messages of one event loop turn are sent in one frame. */
  send(body: Out): void;
  /** Queues a heartbeat without waiting for the next interval. */
  sendHeartbeat(): void;
  /**
   * Sends the queued messages and closes the stream; `reason` is passed to
   * `onClose`.
   */
  close(reason: string): void;
  /**
   * Sends the queued messages and ends the stream; later messages of the peer
   * are ignored. Resolves when the connection has taken everything, or when the
   * peer is silent for the session timeout.
   */
  end(reason: string): Promise<void>;
  readonly isOpen: boolean;
}

/** Callbacks of a session. `In` is the body of the messages that it receives. */
export interface SessionHandlers<In> {
  onMessage(body: In): void;
  onClose(reason: string): void;
  /** Returns the fields of the next heartbeat. */
  heartbeat(): HeartbeatInit;
}

/** Subset of a gRPC stream that a session uses. */
export interface FrameStream {
  write(frame: unknown): boolean;
  on(event: 'data', listener: (frame: unknown) => void): unknown;
  on(event: 'error', listener: (error: Error) => void): unknown;
  on(event: 'end' | 'close', listener: () => void): unknown;
  /** Ends the writing side after everything that was written. */
  endStream(): void;
  /** Ends the stream and releases its connection. */
  destroyStream(): void;
}

/** Options for createSession. */
export interface SessionOptions<In> {
  stream: FrameStream;
  handlers: SessionHandlers<In>;
  heartbeatIntervalMs?: number;
  timeoutMs?: number;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
}

interface Frame {
  messages: Array<EntryMessage | AgentMessage>;
}

/**
 * Runs one side of a session: batches messages into frames, sends heartbeats
 * and closes on timeout.
 */
export function createSession<Out, In>(
  options: SessionOptions<In>,
): Session<Out> {
  const {stream, handlers, boundary = createInputBoundary()} = options;
  const timeoutMs = options.timeoutMs ?? SESSION_TIMEOUT_MS;
  const intervalMs = options.heartbeatIntervalMs ?? HEARTBEAT_INTERVAL_MS;
  let outbox: Out[] = [];
  let isOpen = true;
  let isClosed = false;
  let endReason: string | undefined;
  let resolveEnded: () => void = () => undefined;
  let sequence = 0;
  let receivedAtMs = performance.now();

  const flush = () => {
    if (!isOpen || outbox.length === 0) return;
    const messages = outbox.map(body => ({body}));
    outbox = [];
    stream.write({messages});
  };
  const send = (body: Out) => {
    if (!isOpen) return;
    if (outbox.length === 0) setImmediate(flush);
    outbox.push(body);
  };
  const sendHeartbeat = () => {
    sequence++;
    const value = {...handlers.heartbeat(), sequence};
    send({case: 'heartbeat', value} as Out);
  };
  const close = (reason: string) => {
    if (isClosed) return;
    flush();
    isOpen = false;
    isClosed = true;
    clearInterval(timer);
    stream.destroyStream();
    handlers.onClose(reason);
    resolveEnded();
  };
  const end = (reason: string): Promise<void> => {
    if (!isOpen) return Promise.resolve();
    flush();
    isOpen = false;
    endReason = reason;
    stream.endStream();
    return new Promise(resolve => (resolveEnded = resolve));
  };
  const timer = setInterval(() => {
    if (performance.now() - receivedAtMs > timeoutMs) return close('timed out');
    sendHeartbeat();
  }, intervalMs);

  const receive = (frame: unknown) => {
    receivedAtMs = performance.now();
    for (const message of (frame as Frame).messages) {
      if (isOpen && message.body.case) handlers.onMessage(message.body as In);
    }
  };
  stream.on(
    'data',
    boundary.guard('sessionFrame', receive, () =>
      close('a message could not be handled'),
    ),
  );
  stream.on('error', error => close(error.message));
  stream.on('end', () => close(endReason ?? 'stream ended by peer'));
  stream.on('close', () => close(endReason ?? 'stream closed'));

  return {
    send,
    sendHeartbeat,
    close,
    end,
    get isOpen() {
      return isOpen;
    },
  };
}
