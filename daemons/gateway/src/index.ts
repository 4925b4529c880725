export * from './gateway.js';
export {
  DEFAULT_OUTPUT_TOKEN_WEIGHT,
  type FairShareSettings,
} from './shared/fair_shares.js';
export * from './gateway_options.js';
