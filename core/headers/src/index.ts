export * from './hop_by_hop_headers.js';
