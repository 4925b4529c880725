import type {Logger} from '@sardinestile/logger';
import type {TableService} from '@sardinestile/ports';
import {
  evidenceItemSchema,
  type EvidenceItem,
  type Quarantine,
} from '@sardinestile/quarantine';
import {z} from 'zod';

/** Row with the evidence of the whole fleet, about requests too. */
const EVIDENCE_KEY = 'evidence/prompt_parts';

/** Delay from a change to its write, in milliseconds; changes of one crash come together. */
const WRITE_DELAY_MS = 400;

/**
 * Interval of reads while some gateways can learn of evidence only from the store,
 * or while the store lacks some, in milliseconds.
 */
const ALERT_INTERVAL_MS = 1_200;

/** Interval of reads otherwise, in milliseconds. */
const CALM_INTERVAL_MS = 10_000;

/** Largest size of the row, in bytes. */
const MAX_ROW_BYTES = 49_152;

/** Writes that are tried if other gateways write meanwhile. */
const MAX_WRITE_TRIES = 4;

const rowSchema = z.array(evidenceItemSchema);

/** Options for `startEvidenceStore`. */
export interface EvidenceStoreOptions {
  table: TableService;
  quarantine: Quarantine;
  /** Whether this gateway reads and writes the store for its group. */
  isReader: () => boolean;
  /** Whether some gateways of the fleet do not hear this one. */
  hasUnheardGateways: () => boolean;
  logger: Logger;
}

/** Evidence in the store, which other groups and restarted gateways read. */
export interface EvidenceStore {
  /** Writes the evidence soon, after it has changed. */
  scheduleWrite(): void;
  /** Reads the store again, and writes what it lacks. */
  reread(): void;
  stop(): void;
}

/** Reads the evidence at the start, and keeps the store and this gateway in step. */
export function startEvidenceStore(
  options: EvidenceStoreOptions,
): EvidenceStore {
  const {table, quarantine, logger} = options;
  let timer: NodeJS.Timeout | undefined;
  let dueAtMs = Infinity;
  let isStopped = false;
  let isSyncing = false;
  /** Whether the evidence of before the start is known. */
  let hasRead = false;
  /** Whether the store has all evidence that this gateway has. */
  let isStored = false;

  /** Returns the items of the row; none, so that it is replaced, if it is not valid. */
  const decodeRow = (value: string): readonly EvidenceItem[] => {
    try {
      return rowSchema.parse(JSON.parse(value));
    } catch (error) {
      const operation = `decode the row ${EVIDENCE_KEY}`;
      logger.warn('store_failed', {
        operation,
        reason: (error as Error).message,
      });
      return [];
    }
  };
  /** Takes over the stored evidence; writes the merged evidence if it is different. */
  const sync = async () => {
    if (hasRead && !options.isReader()) return;
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
      const row = await table.get(EVIDENCE_KEY);
      const stored = row ? decodeRow(row.value) : [];
      for (const item of stored) quarantine.record(item, 'other');
      hasRead = true;
      isStored = true;
      const items = fitIntoRow(quarantine.items());
      if (!options.isReader() || isSameEvidence(items, stored)) return;
      const {committed} = await table.transact([
        {
          key: EVIDENCE_KEY,
          value: JSON.stringify(items),
          expectedVersion: row?.version ?? 0,
        },
      ]);
      if (committed) return;
      isStored = false;
    }
  };
  const schedule = (delayMs: number) => {
    const atMs = performance.now() + delayMs;
    if (isStopped || isSyncing || atMs >= dueAtMs) return;
    clearTimeout(timer);
    dueAtMs = atMs;
    timer = setTimeout(run, delayMs);
  };
  const run = () => {
    dueAtMs = Infinity;
    isSyncing = true;
    sync()
      .catch((error: Error) => {
        isStored = false;
        logger.warn('store_failed', {
          operation: 'share evidence about crashes',
          reason: error.message,
        });
      })
      .finally(() => {
        isSyncing = false;
        scheduleNext();
      });
  };
  const scheduleNext = () => {
    const isAlert =
      options.isReader() && (options.hasUnheardGateways() || !isStored);
    schedule(
      (isAlert ? ALERT_INTERVAL_MS : CALM_INTERVAL_MS) *
        (0.8 + 0.4 * Math.random()),
    );
  };
  run();
  return {
    scheduleWrite() {
      isStored = false;
      if (options.isReader()) schedule(WRITE_DELAY_MS);
    },
    reread() {
      hasRead = false;
      schedule(0);
    },
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

/** Returns the first items that fit into the row; harmful parts and requests come first. */
function fitIntoRow(items: readonly EvidenceItem[]): readonly EvidenceItem[] {
  let bytes = 0;
  return items.filter(item => {
    bytes += JSON.stringify(item).length + 1;
    return bytes < MAX_ROW_BYTES;
  });
}

function isSameEvidence(
  one: readonly EvidenceItem[],
  other: readonly EvidenceItem[],
): boolean {
  const toText = (items: readonly EvidenceItem[]) =>
    items
      .map(item => JSON.stringify(item))
      .sort()
      .join('\n');
  return toText(one) === toText(other);
}
