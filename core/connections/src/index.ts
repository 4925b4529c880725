export * from './connection_end.js';
export * from './server_connections.js';
