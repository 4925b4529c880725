export * from './stream_origins.js';
export * from './version_history.js';
export * from './served_versions.js';
