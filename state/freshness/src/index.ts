export * from './freshness.js';
export * from './pause_detector.js';
export * from './peer_adjusted_time.js';
