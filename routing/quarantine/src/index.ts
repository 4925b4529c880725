export * from './crash_evidence.js';
export * from './evidence_item.js';
export * from './find_harmful_parts.js';
export * from './part_quarantine.js';
export * from './request_profile.js';
