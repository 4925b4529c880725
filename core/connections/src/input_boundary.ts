import {createLogger, type Logger} from '@sardinestile/logger';

/** What brings bytes from outside into the process. */
export type InputName =
  | 'callerRequest'
  | 'peerRequest'
  | 'operatorRequest'
  | 'datagram'
  | 'sessionFrame'
  | 'request';

/** Failure of code that handled bytes from outside, or of the server that received them. */
export interface InputFailure {
  input: InputName;
  error: unknown;
  /** Address of the sender, as host:port. */
  from?: string;
}

/**
 * Boundary between bytes from outside and the process: what fails while an input is handled
 * fails that request, connection or datagram, and is logged and counted here.
 */
export interface InputBoundary {
  /** Logs and counts a failure; never throws. */
  report(failure: InputFailure): void;
  /**
   * Returns a handler that never throws; its failures, also those of a promise that it
   * returns, are reported and passed to `onFailed`.
   */
  guard<Args extends unknown[]>(
    input: InputName,
    handler: (...args: Args) => void | Promise<void>,
    onFailed?: (...args: Args) => void,
  ): (...args: Args) => void;
}

/** Options for `createInputBoundary`. */
export interface InputBoundaryOptions {
  /** Writes warnings to standard output by default. */
  logger?: Logger;
  /** Counts the failures; they are only logged by default. */
  metrics?: {
    increment(name: string, labels: Readonly<Record<string, string>>): void;
  };
}

/** Creates a boundary. */
export function createInputBoundary({
  logger = createLogger({level: 'warn'}),
  metrics,
}: InputBoundaryOptions = {}): InputBoundary {
  const describe = (error: unknown) =>
    error instanceof Error ? (error.stack ?? error.message) : String(error);
  const report = ({input, error, from}: InputFailure) => {
    logger.error('input_failed', {input, from, reason: describe(error)});
    try {
      metrics?.increment('sardinestile_input_failures_total', {input});
    } catch (countError) {
      // Nobody is left who would catch it, so that the process would end.
      logger.error('input_failed', {input, reason: describe(countError)});
    }
  };
  return {
    report,
    guard:
      (input, handler, onFailed) =>
      (...args) => {
        const fail = (error: unknown) => {
          report({input, error});
          try {
            onFailed?.(...args);
          } catch (nextError) {
            report({input, error: nextError});
          }
        };
        try {
          const result: unknown = handler(...args);
          if (result instanceof Promise) result.catch(fail);
        } catch (error) {
          fail(error);
        }
      },
  };
}
