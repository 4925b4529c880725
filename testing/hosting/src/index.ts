export * from './crashing_upstreams.js';
export * from './gateway_cluster.js';
export * from './initial_configuration.js';
export * from './kept_connection.js';
export * from './raw_request.js';
export * from './stepped_clock.js';
export * from './slow_caller.js';
export * from './stream_events.js';
