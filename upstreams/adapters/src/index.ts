export * from './openai_engine_adapter.js';
export * from './plain_service_adapter.js';
export * from './upstream_adapter.js';
