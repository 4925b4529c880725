import type {EntryContext} from './entry_context.js';

/** Sets the gauges of what the entry holds for callers. */
export function recordHeldMemory({
  metrics,
  heapBudget,
  bodyBudget,
}: EntryContext): void {
  const gauges = {
    sardinestile_held_heap_bytes: heapBudget.heldBytes,
    sardinestile_held_heap_bytes_limit: heapBudget.limitBytes,
    sardinestile_held_bytes_limit: bodyBudget.limitBytes,
  };
  for (const [name, value] of Object.entries(gauges)) {
    metrics.setGauge(name, {}, value);
  }
  metrics.setGauge(
    'sardinestile_held_bytes',
    {kind: 'requestBody'},
    bodyBudget.heldBytes,
  );
}
