export * from './claim_idempotency_key.js';
