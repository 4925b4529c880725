import {createServer, type AddressInfo} from 'node:net';
import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerUnaryCall,
  type sendUnaryData,
} from '@grpc/grpc-js';
import {
  createAddressOpener,
  createInputBoundary,
  type AddressOpener,
  type AddressPurpose,
  type InputBoundary,
} from '@sardinestile/connections';
import type {
  AgentFrame,
  ConfigPull,
  ConfigPush,
  EntryFrame,
  EntryMessage,
} from './gen/sardinestile/v1/session_pb.js';
import {
  createSession,
  SESSION_TIMEOUT_MS,
  type AgentBody,
  type FrameStream,
  type Session,
  type SessionHandlers,
} from './session.js';
import {PEER_SERVICE, SESSION_SERVICE} from './session_service.js';

/** Connections of entries, which keep one each; more are closed unread. */
const MAX_CONNECTIONS = 512;

/** Calls that are open on a connection at once; an entry has one session and few pulls. */
const MAX_CALLS_PER_CONNECTION = 10;

/** Time without a call after which a connection is closed, in milliseconds. */
const MAX_IDLE_MS = 60_000;

/** Body of a message that an agent receives. */
export type ReceivedEntryBody = EntryMessage['body'];

/** Options for startSessionServer. */
export interface SessionServerOptions {
  host: string;
  /** 0 selects any free port. */
  port: number;
  /** Called for each new session; absent if the process accepts none. */
  accept?: (
    session: Session<AgentBody>,
  ) => Omit<SessionHandlers<ReceivedEntryBody>, 'heartbeat'>;
  /** Returns the fields of each heartbeat; empty by default. */
  heartbeat?: SessionHandlers<ReceivedEntryBody>['heartbeat'];
  /** Returns the configuration changes after a version, or a snapshot. */
  pullConfig: (sinceVersion: number) => ConfigPush;
  heartbeatIntervalMs?: number;
  timeoutMs?: number;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
  /** Opens the address; does not wait for it by default. */
  addresses?: AddressOpener;
  /** What the server serves; `sessions` by default. */
  purpose?: AddressPurpose;
}

/** A running gRPC server. */
export interface SessionServer {
  port: number;
  /**
   * Accepts no more calls and closes each connection once its calls have ended
   * and the peer has read everything. Connections that are still open after the
   * session timeout are destroyed, with the calls on them.
   */
  close(): Promise<void>;
}

/** Starts the gRPC server for configuration pulls and, with `accept`, for sessions. */
export async function startSessionServer(
  options: SessionServerOptions,
): Promise<SessionServer> {
  const {host, port: wantedPort, purpose = 'sessions'} = options;
  const {addresses = createAddressOpener(), boundary = createInputBoundary()} =
    options;
  const server = createSessionServer(options);
  const {injectConnection} = server.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  // The server's own listener has no limit of connections.
  const listener = createServer(socket => injectConnection(socket));
  listener.maxConnections = MAX_CONNECTIONS;
  listener.on('error', error => {
    // Until it listens, its errors concern whoever starts it.
    if (listener.listening) boundary.report({input: 'sessionFrame', error});
  });
  await addresses.listen(purpose, listener, {host, port: wantedPort});
  const limitMs = options.timeoutMs ?? SESSION_TIMEOUT_MS;
  return {
    port: (listener.address() as AddressInfo).port,
    close: () => {
      listener.close();
      return closeServer(server, limitMs);
    },
  };
}

function createSessionServer(options: SessionServerOptions): Server {
  const server = new Server({
    'grpc.max_receive_message_length': -1,
    'grpc.max_send_message_length': -1,
    'grpc.max_concurrent_streams': MAX_CALLS_PER_CONNECTION,
    'grpc.max_connection_idle_ms': MAX_IDLE_MS,
  });
  server.addService(PEER_SERVICE as never, {
    pullConfig: (
      call: ServerUnaryCall<ConfigPull, ConfigPush>,
      callback: sendUnaryData<ConfigPush>,
    ) => callback(null, options.pullConfig(call.request.sinceVersion)),
  });
  if (options.accept) {
    server.addService(SESSION_SERVICE as never, {
      open: (call: ServerDuplexStream<EntryFrame, AgentFrame>) =>
        acceptSession(call, options),
    });
  }
  return server;
}

function closeServer(server: Server, limitMs: number): Promise<void> {
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(timer);
      server.forceShutdown();
      resolve();
    };
    const timer = setTimeout(end, limitMs);
    server.tryShutdown(end);
  });
}

function acceptSession(
  call: ServerDuplexStream<EntryFrame, AgentFrame>,
  options: SessionServerOptions,
): void {
  const session = createSession<AgentBody, ReceivedEntryBody>({
    stream: toFrameStream(call),
    heartbeatIntervalMs: options.heartbeatIntervalMs,
    timeoutMs: options.timeoutMs,
    boundary: options.boundary,
    handlers: {
      onMessage: body => sessionHandlers.onMessage(body),
      onClose: reason => sessionHandlers.onClose(reason),
      heartbeat: () => options.heartbeat?.() ?? {},
    },
  });
  const sessionHandlers = options.accept!(session);
}

function toFrameStream(
  call: ServerDuplexStream<EntryFrame, AgentFrame>,
): FrameStream {
  return {
    write: frame => call.write(frame as AgentFrame),
    on: (event: string, listener: never) => call.on(event, listener),
    endStream: () => void call.end(),
    destroyStream: () => {
      call.end();
      setImmediate(() => call.destroy());
    },
  };
}
