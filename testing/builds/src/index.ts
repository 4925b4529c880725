export * from './checkout_copy.js';
export * from './run_build.js';
