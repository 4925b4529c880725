export * from './stream_origins.js';
export * from './version_history.js';
export * from './recent_values.js';
export * from './served_versions.js';
export * from './target_history.js';
