export * from './check_finding.js';
export * from './check_service_text.js';
export * from './compare_versions.js';
export * from './key_checks.js';
export * from './text_sections.js';
export * from './check_route_table.js';
export * from './table_sections.js';
