export * from './decide_admission.js';
export * from './return_schedule.js';
export * from './silence_limit.js';
