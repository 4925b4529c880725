import type {TableService} from '@sardinestile/ports';
import {prefixEnd, SEAL_PREFIX} from './usage_keys.js';
import {decodeUsageSums, type UsageSums} from './usage_sums.js';

/** Largest number of windows that one call returns. */
const MAX_WINDOWS = 500;

/** Final usage of a window; it no longer changes. */
export interface SealedUsage {
  windowId: string;
  sums: UsageSums;
}

/** Reads one sealed window, or the oldest ones if no window is given. */
export async function readSealedUsage(
  table: TableService,
  windowId?: string,
): Promise<SealedUsage[]> {
  const prefix = SEAL_PREFIX + (windowId ?? '');
  const rows = await table.scan(prefix, prefixEnd(prefix), MAX_WINDOWS);
  return rows.map(row => ({
    windowId: row.key.slice(SEAL_PREFIX.length),
    sums: decodeUsageSums(row.value),
  }));
}
