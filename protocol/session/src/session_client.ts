import {Client, credentials, type ClientDuplexStream} from '@grpc/grpc-js';
import type {InputBoundary} from '@sardinestile/connections';
import type {
  AgentFrame,
  AgentMessage,
  ConfigPush,
  EntryFrame,
} from './gen/sardinestile/v1/session_pb.js';
import {
  createSession,
  type EntryBody,
  type FrameStream,
  type Session,
  type SessionHandlers,
} from './session.js';
import {PEER_SERVICE, SESSION_SERVICE} from './session_service.js';

/** Body of a message that an entry receives. */
export type ReceivedAgentBody = AgentMessage['body'];

/** Options for openSession. */
export interface OpenSessionOptions {
  /** `host:port` of the agent. */
  address: string;
  handlers: SessionHandlers<ReceivedAgentBody>;
  heartbeatIntervalMs?: number;
  timeoutMs?: number;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
}

/**
 * gRPC options that give each channel a TCP connection of its own, so that a
 * new session never reuses a stalled connection.
 */
const DEDICATED_CONNECTION_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': -1,
  'grpc.max_send_message_length': -1,
};

/** Opens a session to an agent on a new connection. */
export function openSession(options: OpenSessionOptions): Session<EntryBody> {
  const client = new Client(
    options.address,
    credentials.createInsecure(),
    DEDICATED_CONNECTION_OPTIONS,
  );
  const method = SESSION_SERVICE.open;
  const call = client.makeBidiStreamRequest(
    method.path,
    method.requestSerialize,
    method.responseDeserialize,
  );
  return createSession<EntryBody, ReceivedAgentBody>({
    ...options,
    stream: toFrameStream(call, client),
  });
}

function toFrameStream(
  call: ClientDuplexStream<EntryFrame, AgentFrame>,
  client: Client,
): FrameStream {
  return {
    write: frame => call.write(frame as EntryFrame),
    on: (event: string, listener: never) => call.on(event, listener),
    endStream: () => void call.end(),
    destroyStream: () => {
      call.end();
      setImmediate(() => {
        call.cancel();
        client.close();
      });
    },
  };
}

/** Options for pullConfig. */
export interface PullConfigOptions {
  /** `host:port` of the peer. */
  address: string;
  /** Version that the caller has. */
  sinceVersion: number;
  timeoutMs: number;
}

/**
 * Fetches the configuration changes after a version from a peer; rejects on any
 * failure.
 */
export function pullConfig(options: PullConfigOptions): Promise<ConfigPush> {
  const client = new Client(
    options.address,
    credentials.createInsecure(),
    DEDICATED_CONNECTION_OPTIONS,
  );
  const method = PEER_SERVICE.pullConfig;
  return new Promise((resolve, reject) => {
    client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      {sinceVersion: options.sinceVersion} as never,
      {deadline: Date.now() + options.timeoutMs},
      (error, response) => {
        client.close();
        if (error || !response) reject(error ?? new Error('no response'));
        else resolve(response);
      },
    );
  });
}
