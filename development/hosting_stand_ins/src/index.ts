export * from './endless_response.js';
export * from './duty_stand_in.js';
export * from './http_stand_in.js';
export * from './store_stand_in.js';
export * from './store_state.js';
export * from './upstream_stand_in.js';
