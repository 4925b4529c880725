export * from './hosted_world.js';
export * from './initial_configuration.js';
export * from './raw_call.js';
export * from './stepped_clock.js';
