import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerUnaryCall,
  type sendUnaryData,
} from '@grpc/grpc-js';
import {
  createAddressOpener,
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
  const {addresses = createAddressOpener()} = options;
  // A server remembers the failure of an address, so that each attempt needs its own.
  const {server, port} = await addresses.open(
    purpose,
    {host, port: wantedPort},
    async () => {
      const candidate = createSessionServer(options);
      return {
        server: candidate,
        port: await bind(candidate, `${host}:${wantedPort}`),
      };
    },
  );
  const limitMs = options.timeoutMs ?? SESSION_TIMEOUT_MS;
  return {port, close: () => closeServer(server, limitMs)};
}

function createSessionServer(options: SessionServerOptions): Server {
  const server = new Server({
    'grpc.max_receive_message_length': -1,
    'grpc.max_send_message_length': -1,
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

function bind(server: Server, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(address, credentials, (error, port) => {
      if (error) reject(error);
      else resolve(port);
    });
  });
}
