import type {Logger} from '@sardinestile/logger';

/** Logs errors of standard output and standard error, which would end the process otherwise. */
export function logOutputErrors(logger: Logger): void {
  for (const stream of ['stdout', 'stderr'] as const) {
    process[stream].on('error', error =>
      logger.warn('output_failed', {stream, reason: error.message}),
    );
  }
}
