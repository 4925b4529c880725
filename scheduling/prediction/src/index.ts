export * from './moving_average.js';
export * from './prediction_error.js';
