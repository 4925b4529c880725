import {randomUUID} from 'node:crypto';
import type {Logger} from '@sardinestile/logger';
import type {TableService} from '@sardinestile/ports';
import {
  createUsageAccumulator,
  type UsageAccumulator,
} from '@sardinestile/usage';

/** Time between two writes of recorded usage to the store. */
const FLUSH_INTERVAL_MS = 5_000;

/** Collects an entry's usage and writes it to the store periodically. */
export interface UsageFlusher {
  source: UsageAccumulator;
  /** Writes the remaining usage, then stops. */
  stop(): Promise<void>;
}

/** Options for startUsageFlusher. */
export interface UsageFlusherOptions {
  instance: string;
  table: TableService;
  logger: Logger;
}

/** Starts a flusher. Each process start is a usage source of its own. */
export function startUsageFlusher({
  instance,
  table,
  logger,
}: UsageFlusherOptions): UsageFlusher {
  const source = createUsageAccumulator({
    source: `${instance}-${randomUUID()}`,
    table,
    wallMs: Date.now,
  });
  const flush = () =>
    source.flush().catch((error: Error) => {
      const {message: reason} = error;
      logger.warn('store_failed', {operation: 'store usage', reason});
    });
  const timer = setInterval(() => void flush(), FLUSH_INTERVAL_MS);
  return {
    source,
    stop: async () => {
      clearInterval(timer);
      await flush();
    },
  };
}
