/** Stable codes of errors that operators see. */
export type ErrorCode =
  | 'SETTINGS_INVALID'
  | 'TEXT_REFUSED'
  | 'VERSION_CONFLICT'
  | 'STORE_UNAVAILABLE'
  | 'PEER_UNAVAILABLE'
  | 'FENCED'
  | 'NOT_FOUND'
  | 'UNAUTHORIZED'
  | 'INVALID_REQUEST';
