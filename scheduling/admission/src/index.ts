export * from './decide_admission.js';
