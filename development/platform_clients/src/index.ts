export * from './platform_clients.js';
