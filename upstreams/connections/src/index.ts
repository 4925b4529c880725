export * from './fail_on_reset.js';
