export * from './match_route.js';
export * from './operator_records.js';
export * from './route_table_schema.js';
export * from './urgency_ranker.js';
