import {SardinestileError} from '@sardinestile/errors';
import {createLogger} from '@sardinestile/logger';
import {EXIT_CODE_BY_ERROR, EXIT_CODES} from './exit_code.js';
import {runPlatformGateway} from './platform_wiring.js';

/** Entry point of the bundle that runs on the platform. */
try {
  await runPlatformGateway();
  process.exit(EXIT_CODES.ok);
} catch (error) {
  const logger = createLogger({level: 'info'});
  const isOwn = error instanceof SardinestileError;
  logger.error('command_failed', {
    code: isOwn ? error.code : 'FAILED',
    message: error instanceof Error ? error.message : String(error),
    hint: isOwn ? error.hint : undefined,
  });
  process.exit(isOwn ? EXIT_CODE_BY_ERROR[error.code] : EXIT_CODES.failed);
}
