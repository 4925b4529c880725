export * from './gen/sardinestile/v1/session_pb.js';
export * from './session.js';
export * from './session_client.js';
export * from './session_server.js';
