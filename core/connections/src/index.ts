export * from './address_opener.js';
export * from './connection_end.js';
export * from './create_bounded_server.js';
export * from './drain_server.js';
export {breakOff} from './fail_request.js';
export * from './input_boundary.js';
export * from './server_connections.js';
