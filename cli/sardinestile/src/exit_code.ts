import type {ErrorCode} from '@sardinestile/errors';

/** Exit codes of the `sardinestile` command. */
export const EXIT_CODES = {
  ok: 0,
  /** Any error without its own code. */
  failed: 1,
  /** Invalid arguments, settings or requests. */
  usage: 2,
  textRefused: 3,
  versionConflict: 4,
  /** The store or the administration API gave no valid response. */
  unreachable: 5,
  notFound: 6,
} as const;

/** Exit code for each error code. */
export const EXIT_CODE_BY_ERROR: Readonly<Record<ErrorCode, number>> = {
  SETTINGS_INVALID: EXIT_CODES.usage,
  ADDRESS_UNAVAILABLE: EXIT_CODES.failed,
  TEXT_REFUSED: EXIT_CODES.textRefused,
  VERSION_CONFLICT: EXIT_CODES.versionConflict,
  STORE_UNAVAILABLE: EXIT_CODES.unreachable,
  PEER_UNAVAILABLE: EXIT_CODES.unreachable,
  UPSTREAM_FAILED: EXIT_CODES.unreachable,
  FENCED: 4,
  NOT_FOUND: EXIT_CODES.notFound,
  UNAUTHORIZED: EXIT_CODES.failed,
  INVALID_REQUEST: EXIT_CODES.usage,
};
