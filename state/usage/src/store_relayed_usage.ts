import type {TableService} from '@sardinestile/ports';
import {closedKey, sumsKey} from './usage_keys.js';
import {usageSumsSchema, type UsageSums} from './usage_sums.js';

/**
 * Stores the usage of a source on its behalf. The counts of a window only rise,
 * so the larger ones of each organisation are kept, in whichever order the
 * processes write. Returns false if the window is closed or a concurrent write
 * won.
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
    const prior = larger[organisation];
    if (!prior || prior.requests < usage.requests) larger[organisation] = usage;
  }
  return larger;
}
