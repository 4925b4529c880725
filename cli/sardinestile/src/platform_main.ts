// Imported first, as a signal must not end the process while the other modules load.
import {gatewaySignals} from './gateway_signals.js';
import {SardinestileError} from '@sardinestile/errors';
import {createLogger} from '@sardinestile/logger';
import {describeError} from './describe_error.js';
import {EXIT_CODE_BY_ERROR, EXIT_CODES} from './exit_code.js';
import {runPlatformGateway} from './platform_gateway.js';
import {logProcessEnd} from './process_end.js';
import {writeLastLine} from './write_last_line.js';

const processEnd = logProcessEnd();

// Entry point of the bundle that runs a gateway on the hosting platform.
try {
  await runPlatformGateway(gatewaySignals);
  processEnd.record('stopped');
  process.exit(EXIT_CODES.ok);
} catch (error) {
  processEnd.record('startFailed', describeError(error));
  const logger = createLogger({level: 'info', write: writeLastLine});
  const isSardinestileError = error instanceof SardinestileError;
  logger.error('command_failed', {
    code: isSardinestileError ? error.code : 'FAILED',
    message: error instanceof Error ? error.message : String(error),
    hint: isSardinestileError ? error.hint : undefined,
  });
  process.exit(
    isSardinestileError ? EXIT_CODE_BY_ERROR[error.code] : EXIT_CODES.failed,
  );
}
