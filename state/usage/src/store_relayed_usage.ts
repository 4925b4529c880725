import type {TableService} from '@sardinestile/ports';
import {closedKey, sumsKey} from './usage_keys.js';
import {usageSumsSchema, type UsageSums} from './usage_sums.js';

/**
 * Stores a source's counts for it. Counts of a window only rise, so that the
 * larger one of each organisation is kept whoever writes first; false if the
 * window is closed or another write came between.
 */
export async function storeRelayedUsage(
  table: TableService,
  source: string,
  windowId: string,
  sums: UsageSums,
): Promise<boolean> {
  const key = sumsKey(windowId, source);
  const row = await table.get(key);
  const stored = row ? usageSumsSchema.parse(JSON.parse(row.value)) : {};
  const write = {
    key,
    value: JSON.stringify(keepLarger(stored, sums)),
    expectedVersion: row?.version ?? 0,
  };
  const check = {key: closedKey(windowId), expectedVersion: 0};
  const {committed} = await table.transact([write], [check]);
  return committed;
}

function keepLarger(stored: UsageSums, sums: UsageSums): UsageSums {
  const larger: UsageSums = {...stored};
  for (const [organisation, usage] of Object.entries(sums)) {
    const known = larger[organisation];
    if (!known || known.requests < usage.requests) larger[organisation] = usage;
  }
  return larger;
}
