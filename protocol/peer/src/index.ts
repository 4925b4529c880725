export * from './peer_client.js';
export * from './peer_messages.js';
export * from './peer_server.js';
