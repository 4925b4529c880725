import type {SourceUsage} from './usage_batch_writer.js';

/** Time for which a way to the store that failed is tried last, in milliseconds. */
const FAILURE_MEMORY_MS = 10_000;

/** Stores usage; rejects if it did not. */
export type StoreUsage = (usage: SourceUsage) => Promise<void>;

/** Options for createUsageStoreRoute. */
export interface UsageStoreRouteOptions {
  /** Stores usage over this process's own connection to the store. */
  storeOwn: StoreUsage;
  /** Has another process store usage. */
  storeAtPeer: StoreUsage;
  /** Whether the other process is preferred while both work. */
  prefersPeer: () => boolean;
  nowMs: () => number;
}

/**
 * Creates a way to store usage that tries the other way at once when one fails,
 * and remembers the failure. A window closes a little after its end, so that
 * counts come too late if each time the failing way is waited for first.
 */
export function createUsageStoreRoute(
  options: UsageStoreRouteOptions,
): StoreUsage {
  const failedAtMs = {own: -Infinity, peer: -Infinity};
  const ways = {own: options.storeOwn, peer: options.storeAtPeer};
  type Way = keyof typeof ways;
  const hasFailedLately = (way: Way) =>
    options.nowMs() - failedAtMs[way] < FAILURE_MEMORY_MS;
  const attempt = async (way: Way, usage: SourceUsage) => {
    try {
      await ways[way](usage);
      failedAtMs[way] = -Infinity;
    } catch (error) {
      failedAtMs[way] = options.nowMs();
      throw error;
    }
  };
  return async usage => {
    const preferred: Way = options.prefersPeer() ? 'peer' : 'own';
    const other: Way = preferred === 'own' ? 'peer' : 'own';
    const isSwapped = hasFailedLately(preferred) && !hasFailedLately(other);
    const [first, second] = isSwapped ? [other, preferred] : [preferred, other];
    await attempt(first, usage).catch(() => attempt(second, usage));
  };
}
