export * from './fair_shares.js';
export * from './share_position.js';
export * from './usage_sums.js';
