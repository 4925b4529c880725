export * from './duty_candidacy.js';
export * from './scaling_duty.js';
export * from './scaling_planner.js';
export * from './usage_duty.js';
