export * from './engine_model.js';
export * from './fleet.js';
export * from './fleet_types.js';
export * from './membership.js';
export * from './place_request.js';
export * from './prefill_queue.js';
export * from './prompt_cache.js';
export * from './upstream_health.js';
