export * from './ops_server.js';
