import {
  create,
  fromBinary,
  toBinary,
  type DescMessage,
  type MessageShape,
} from '@bufbuild/protobuf';
import type {MethodDefinition} from '@grpc/grpc-js';
import {
  AgentFrameSchema,
  ConfigPullSchema,
  ConfigPushSchema,
  EntryFrameSchema,
  type AgentFrame,
  type ConfigPull,
  type ConfigPush,
  type EntryFrame,
} from './gen/sardinestile/v1/session_pb.js';

/** gRPC definition of the session between an entry and an agent. */
export const SESSION_SERVICE = {
  open: defineMethod({
    path: '/sardinestile.v1.SessionService/Open',
    isStream: true,
    request: EntryFrameSchema,
    response: AgentFrameSchema,
  }) as MethodDefinition<EntryFrame, AgentFrame>,
};

/** gRPC definition of the configuration exchange between entries. */
export const PEER_SERVICE = {
  pullConfig: defineMethod({
    path: '/sardinestile.v1.PeerService/PullConfig',
    isStream: false,
    request: ConfigPullSchema,
    response: ConfigPushSchema,
  }) as MethodDefinition<ConfigPull, ConfigPush>,
};

interface MethodOptions<Q extends DescMessage, S extends DescMessage> {
  path: string;
  isStream: boolean;
  request: Q;
  response: S;
}

function defineMethod<Q extends DescMessage, S extends DescMessage>(
  options: MethodOptions<Q, S>,
) {
  return {
    path: options.path,
    requestStream: options.isStream,
    responseStream: options.isStream,
    requestSerialize: createSerializer(options.request),
    requestDeserialize: createDeserializer(options.request),
    responseSerialize: createSerializer(options.response),
    responseDeserialize: createDeserializer(options.response),
  };
}

function createSerializer<D extends DescMessage>(schema: D) {
  return (message: MessageShape<D>) => {
    const bytes = toBinary(schema, create(schema, message as never));
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  };
}

function createDeserializer<D extends DescMessage>(schema: D) {
  return (bytes: Buffer) => fromBinary(schema, bytes);
}
