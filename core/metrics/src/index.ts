export * from './metrics_registry.js';
