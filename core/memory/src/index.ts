export * from './append_chunk.js';
export * from './buffer_collector.js';
export * from './held_bytes.js';
export * from './memory_limit.js';
export * from './page_bytes.js';
export * from './peak_resident_bytes.js';
export * from './resident_memory.js';
