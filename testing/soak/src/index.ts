export * from './run_soak.js';
