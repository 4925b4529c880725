export * from './choose_subset.js';
export * from './circuit_breaker.js';
export * from './dispatch.js';
export * from './dispatch_types.js';
export * from './rank_upstreams.js';
export * from './rendezvous_hash.js';
export * from './entry_retry_budget.js';
export * from './service_retry_budget.js';
