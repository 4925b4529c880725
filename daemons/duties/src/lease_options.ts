import {randomUUID} from 'node:crypto';
import type {Logger} from '@sardinestile/logger';

/** Duration of a duty's lease without renewal. */
const LEASE_DURATION_MS = 9_000;

/** Maximum time that an operation sent under the lease may take to arrive. */
const OPERATION_TIMEOUT_MS = 3_000;

/**
 * Returns the options of a duty's lease, which is stored under `lease/DUTY`.
 */
export function createLeaseOptions(
  duty: string,
  instance: string,
  logger: Logger,
) {
  return {
    key: `lease/${duty}`,
    holderId: instance,
    durationMs: LEASE_DURATION_MS,
    operationTimeoutMs: OPERATION_TIMEOUT_MS,
    nextWriterToken: () => randomUUID(),
    onUnreadable: (reason: string) =>
      logger.warn('lease_unreadable', {duty, reason}),
    onAcquired: (fencingToken: number) =>
      logger.info('lease_acquired', {duty, fencingToken}),
    onLost: (fencingToken: number) =>
      logger.info('lease_lost', {duty, fencingToken}),
  };
}
