export * from './match_route.js';
export * from './route_table_schema.js';
