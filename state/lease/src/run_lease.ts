import type {TableService} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {createLease} from './lease.js';
import {
  leaseRowSchema,
  type LeaseCommand,
  type LeaseEvent,
  type LeaseOptions,
  type ReadLease,
} from './lease_types.js';

/** Time between two looks at a lease by default, in milliseconds. */
const TICK_MS = 1_000;

/** Share of the interval by which looks are spread at random. */
const TICK_JITTER = 0.2;

/** What running a lease needs. */
export interface RunLeaseOptions extends LeaseOptions {
  /** Key of the lease's row. */
  key: string;
  table: TableService;
  clock: Clock;
  /**
   * Whether this process would claim the lease now; always by default. It is
   * told whether some process was seen to hold it lately.
   */
  isCandidate?: (isHeld: boolean) => boolean;
  /** Time between two looks at the lease. */
  tickMs?: number;
  onAcquired: (fencingToken: number) => void;
  onLost: (fencingToken: number) => void;
}

/** A lease that is being claimed and renewed. */
export interface RunningLease {
  /** The fencing token if this process may act in this synchronous step. */
  fencingToken(): number | undefined;
  /** Whether some process, this one or another, was seen to hold the lease lately. */
  isHeld(): boolean;
  stop(): void;
}

/** Claims and renews a lease over the table service until it is stopped. */
export function runLease(options: RunLeaseOptions): RunningLease {
  const {table, clock, key, tickMs = TICK_MS} = options;
  const lease = createLease(options);
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let heldToken: number | undefined;
  let seenVersion: number | undefined;
  let changeSeenAtMs = -Infinity;

  const now = () => ({
    monotonicMs: clock.monotonicMs(),
    wallMs: clock.wallMs(),
  });
  const notify = (event: LeaseEvent) => {
    if (isStopped) return;
    lease.handle(event, now()).forEach(command => void perform(command));
    noteHolder();
  };
  const noteHolder = () => {
    const token = lease.fencingTokenAt(now());
    if (token === heldToken) return;
    const lostToken = heldToken;
    heldToken = token;
    if (lostToken !== undefined) options.onLost(lostToken);
    if (token !== undefined) options.onAcquired(token);
  };
  const noteVersion = (version: number | undefined) => {
    if (version === undefined || version === seenVersion) return;
    seenVersion = version;
    changeSeenAtMs = clock.monotonicMs();
  };
  const isHeld = () =>
    heldToken !== undefined ||
    clock.monotonicMs() - changeSeenAtMs < options.durationMs;
  const perform = async (command: LeaseCommand) => {
    if (command.kind === 'read') {
      notify(
        await table.get(key).then(
          row => {
            noteVersion(row?.version);
            return {kind: 'read' as const, lease: row && parseRow(row)};
          },
          () => ({kind: 'readFailed' as const}),
        ),
      );
      return;
    }
    const value = JSON.stringify(command.row);
    const {expectedVersion} = command;
    notify(
      await table.transact([{key, value, expectedVersion}]).then(
        ({committed, version}) => ({
          kind: 'written' as const,
          isCommitted: committed,
          version,
        }),
        () => ({kind: 'writeUnknown' as const}),
      ),
    );
  };
  const tick = () => {
    const mayClaim = options.isCandidate?.(isHeld()) ?? true;
    if (mayClaim || heldToken !== undefined) notify({kind: 'timePassed'});
    const spread = 1 + TICK_JITTER * (2 * Math.random() - 1);
    timer = setTimeout(tick, tickMs * spread);
  };
  tick();
  return {
    fencingToken: () => (isStopped ? undefined : lease.fencingTokenAt(now())),
    isHeld,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

function parseRow(row: {value: string; version: number}): ReadLease {
  return {
    row: leaseRowSchema.parse(JSON.parse(row.value)),
    version: row.version,
  };
}
