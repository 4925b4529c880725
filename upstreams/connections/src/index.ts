export * from './reliable_ends.js';
export {RESET_BY_UPSTREAM_CODE, ResetByUpstreamError} from './report_resets.js';
