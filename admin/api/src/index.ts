export * from './admin_api.js';
export * from './openapi_document.js';
