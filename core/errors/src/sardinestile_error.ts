import type {ErrorCode} from './error_code.js';

/** Options for SardinestileError. */
export interface SardinestileErrorOptions {
  /** Stable code for operators and programs. */
  code: ErrorCode;
  /** What happened. */
  message: string;
  /** What the operator can do about it. */
  hint?: string;
  /** The error that caused this one. */
  cause?: unknown;
}

/** An error with a stable code and, optionally, a hint for the operator. */
export class SardinestileError extends Error {
  readonly code: ErrorCode;
  readonly hint?: string;

  constructor(options: SardinestileErrorOptions) {
    super(options.message, {cause: options.cause});
    this.name = 'SardinestileError';
    this.code = options.code;
    this.hint = options.hint;
  }
}
