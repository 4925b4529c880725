export * from './ledger_codec.js';
export * from './ledger_link.js';
export * from './ledger_update.js';
