export * from './finding.js';
export * from './locate_path.js';
export * from './parse_service_text.js';
export * from './service_text_schema.js';
