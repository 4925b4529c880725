import {
  NO_RESTORES,
  type Row,
  type StoreRestores,
  type TableService,
} from '@sardinestile/ports';
import {firstTokenOf, type Clock} from '@sardinestile/types';
import {createLease} from './lease.js';
import {
  leaseRowSchema,
  type LeaseCommand,
  type LeaseEvent,
  type LeaseOptions,
  type StoredLease,
} from './lease_types.js';

/** Default interval between two checks of a lease. */
const TICK_MS = 1_000;

/** Random variation of the interval, as part of the interval. */
const TICK_JITTER_SHARE = 0.2;

/** Options for runLease. */
export interface RunLeaseOptions extends LeaseOptions {
  /** Key of the lease's row in the table. */
  key: string;
  table: TableService;
  clock: Clock;
  /**
   * Whether this process may claim the lease now; always by default. `isHeld`
   * is the result of `RunningLease.isHeld`.
   */
  isAllowedToClaim?: (isHeld: boolean) => boolean;
  /** Interval between two checks of the lease; a second by default. */
  checkIntervalMs?: number;
  /** Restores of the store behind the table; none by default. */
  restores?: StoreRestores;
  /** Called for each read of a row that is no lease; the lease is not claimed then. */
  onUnreadable?: (reason: string) => void;
  onAcquired: (fencingToken: number) => void;
  onLost: (fencingToken: number) => void;
}

/** A lease that runLease claims and renews. */
export interface RunningLease {
  /** Returns the fencing token if this process may act in this synchronous step. */
  fencingToken(): number | undefined;
  /** Whether this process holds the lease, or its row changed within the lease duration. */
  isHeld(): boolean;
  /** Stops claiming and renewing; the row stays as it is. */
  stop(): void;
}

/** Claims and renews a lease through the table service until it is stopped. */
export function runLease(options: RunLeaseOptions): RunningLease {
  const {
    table,
    clock,
    key,
    checkIntervalMs: checkIntervalMs = TICK_MS,
  } = options;
  const restores = options.restores ?? NO_RESTORES;
  const lease = createLease({
    ...options,
    minFencingToken: () => firstTokenOf(restores.generation),
  });
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let heldToken: number | undefined;
  let seenVersion: number | undefined;
  let versionChangedAtMs = -Infinity;

  const now = () => ({
    monotonicMs: clock.monotonicMs(),
    wallMs: clock.wallMs(),
  });
  const handleEvent = (event: LeaseEvent) => {
    if (isStopped) return;
    lease.handle(event, now()).forEach(command => void perform(command));
    reportTokenChange();
  };
  const reportTokenChange = () => {
    const token = lease.fencingTokenAt(now());
    if (token === heldToken) return;
    const lostToken = heldToken;
    heldToken = token;
    if (lostToken !== undefined) options.onLost(lostToken);
    if (token !== undefined) options.onAcquired(token);
  };
  const recordVersion = (version: number | undefined) => {
    if (version === undefined || version === seenVersion) return;
    seenVersion = version;
    versionChangedAtMs = clock.monotonicMs();
  };
  const isHeld = () =>
    heldToken !== undefined ||
    clock.monotonicMs() - versionChangedAtMs < options.durationMs;
  /** The fencing token that a row held before it became unreadable is not known. */
  const readRow = (row: Row | undefined): LeaseEvent => {
    recordVersion(row?.version);
    try {
      return {kind: 'read', lease: row && parseRow(row)};
    } catch (error) {
      options.onUnreadable?.((error as Error).message);
      return {kind: 'readFailed'};
    }
  };
  const perform = async (command: LeaseCommand) => {
    if (command.kind === 'read') {
      handleEvent(
        await table.get(key).then(readRow, () => ({
          kind: 'readFailed' as const,
        })),
      );
      return;
    }
    const value = JSON.stringify(command.row);
    const {expectedVersion} = command;
    handleEvent(
      await table.transact([{key, value, expectedVersion}]).then(
        ({committed, version}) => ({
          kind: 'written' as const,
          isCommitted: committed,
          version,
        }),
        () => ({kind: 'writeOutcomeUnknown' as const}),
      ),
    );
  };
  const tick = () => {
    const canClaim = options.isAllowedToClaim?.(isHeld()) ?? true;
    if (canClaim || heldToken !== undefined) handleEvent({kind: 'timePassed'});
    const jitterFactor = 1 + TICK_JITTER_SHARE * (2 * Math.random() - 1);
    timer = setTimeout(tick, checkIntervalMs * jitterFactor);
  };
  tick();
  restores.subscribe(() => handleEvent({kind: 'restored'}));
  return {
    fencingToken: () => (isStopped ? undefined : lease.fencingTokenAt(now())),
    isHeld,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

function parseRow(row: Row): StoredLease {
  return {
    row: leaseRowSchema.parse(JSON.parse(row.value)),
    version: row.version,
  };
}
