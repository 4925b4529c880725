export * from './check_finding.js';
export * from './check_service_text.js';
