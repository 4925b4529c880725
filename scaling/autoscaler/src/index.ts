export * from './autoscaler.js';
