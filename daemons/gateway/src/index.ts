export * from './gateway.js';
export * from './gateway_options.js';
