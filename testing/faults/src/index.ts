export * from './protocols.js';
export * from './run_matrix.js';
