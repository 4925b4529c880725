export * from './gateway.js';
