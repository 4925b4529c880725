export {
  MAX_BYTES_WITHOUT_PROGRESS,
  NO_PROGRESS_CODE,
  NoProgressError,
  type ResponseProgress,
} from './pace_responses.js';
export * from './with_paced_responses.js';
export * from './reliable_ends.js';
export {RESET_BY_UPSTREAM_CODE, ResetByUpstreamError} from './report_resets.js';
