import {SardinestileError} from '@sardinestile/errors';
import {createLogger} from '@sardinestile/logger';
import {describeError} from './describe_error.js';
import {EXIT_CODE_BY_ERROR, EXIT_CODES} from './exit_code.js';
import {runPlatformGateway} from './platform_gateway.js';
import {logProcessEnd} from './process_end.js';
import type {ProcessSignals} from './process_signals.js';
import {writeLastLine} from './write_last_line.js';

/** Runs a gateway on the hosting platform until it ends, and returns the exit code. */
export async function runGatewayMain(signals: ProcessSignals): Promise<number> {
  const processEnd = logProcessEnd();
  try {
    const outcome = await runPlatformGateway(signals);
    processEnd.recordOutcome(outcome);
    return outcome.cause === 'stopped' ? EXIT_CODES.ok : EXIT_CODES.failed;
  } catch (error) {
    processEnd.record('startFailed', describeError(error));
    const logger = createLogger({level: 'info', write: writeLastLine});
    const isSardinestileError = error instanceof SardinestileError;
    logger.error('command_failed', {
      code: isSardinestileError ? error.code : 'FAILED',
      message: error instanceof Error ? error.message : String(error),
      hint: isSardinestileError ? error.hint : undefined,
    });
    return isSardinestileError
      ? EXIT_CODE_BY_ERROR[error.code]
      : EXIT_CODES.failed;
  }
}
