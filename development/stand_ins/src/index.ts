export * from './deterministic_answer.js';
export * from './engine_model.js';
export * from './engine_stand_in.js';
export * from './plain_stand_in.js';
export * from './platform_stand_in.js';
export * from './platform_state.js';
