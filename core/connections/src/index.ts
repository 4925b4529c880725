export * from './connection_end.js';
export * from './drain_server.js';
export * from './server_connections.js';
