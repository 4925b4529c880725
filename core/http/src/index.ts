export * from './http_server.js';
