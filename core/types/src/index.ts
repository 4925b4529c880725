export * from './clock.js';
export * from './fencing_token.js';
export * from './list_of.js';
export * from './parse_json.js';
export * from './random_source.js';
export * from './run_outcome.js';
export * from './tier.js';
export * from './with_timeout.js';
