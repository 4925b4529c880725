export * from './known_red.js';
