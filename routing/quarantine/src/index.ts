export * from './crash_evidence.js';
export * from './evidence_item.js';
export * from './find_harmful_parts.js';
export * from './quarantine.js';
export * from './request_profile.js';
export * from './split_crash.js';
export * from './trial_delay.js';
