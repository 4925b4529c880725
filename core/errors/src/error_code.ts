/** Stable codes of the errors that are reported to operators. */
export type ErrorCode =
  | 'SETTINGS_INVALID'
  | 'ADDRESS_UNAVAILABLE'
  | 'TEXT_REFUSED'
  | 'VERSION_CONFLICT'
  | 'STORE_UNAVAILABLE'
  | 'PEER_UNAVAILABLE'
  | 'UPSTREAM_FAILED'
  | 'FENCED'
  | 'NOT_FOUND'
  | 'UNAUTHORIZED'
  | 'INVALID_REQUEST';
