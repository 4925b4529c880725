export * from './freshness.js';
export * from './gap_detector.js';
export * from './true_time.js';
