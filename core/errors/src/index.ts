export * from './error_code.js';
export * from './refusal.js';
export * from './sardinestile_error.js';
