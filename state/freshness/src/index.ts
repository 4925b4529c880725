export * from './freshness.js';
export * from './gap_detector.js';
