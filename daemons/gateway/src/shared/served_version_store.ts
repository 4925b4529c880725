import {
  createVersionHistory,
  namedVersions,
  onlyServedVersion,
  servedVersionsCodec,
  type RecentValues,
  type VersionedUpstream,
} from '@sardinestile/continuation';
import {
  createRecentValueRow,
  type RecentValueContext,
} from './recent_value_row.js';
import {createSharedRead} from './shared_read.js';

/** Row with the software versions that served, which outlasts the loss of all gateways. */
const VERSIONS_KEY = 'streams/versions';

/** Interval at which the list of upstreams is observed, in milliseconds. */
const OBSERVATION_INTERVAL_MS = 1_000;

/** Options for `createServedVersionStore`. */
export interface ServedVersionStoreOptions extends RecentValueContext {
  /** All upstreams in the list that this gateway follows. */
  listedUpstreams: () => readonly VersionedUpstream[];
  /** Upper bound of the age of that list, in milliseconds. */
  listAgeMs: () => number;
  /** Greatest age at which the list counts as up to date, in milliseconds. */
  maxListAgeMs: number;
  /** Reads all registered upstreams from the store; rejects if it cannot be read. */
  readRegistered: () => Promise<readonly VersionedUpstream[]>;
}

/** Software versions that served, for streams that no gateway remembers. */
export interface ServedVersionStore {
  /**
   * Observes which versions serve, and writes those that the store lacks; called at short
   * intervals and when upstreams may have changed.
   */
  update(): void;
  /**
   * Returns the version that began all streams of a service which a caller may resume
   * now; undefined if there were several, it is not certain, or the store cannot be read.
   */
  onlyVersion(service: string): Promise<string | undefined>;
}

/** What the store has for resumes that arrived before it was read. */
interface StoreReading {
  /** The row of the versions; absent if it is missing or invalid. */
  served: RecentValues | undefined;
  registered: readonly VersionedUpstream[];
  /** Monotonic time at which the read began, in milliseconds. */
  sentAtMs: number;
}

/** Creates the store of the versions, and writes nothing until `update`. */
export function createServedVersionStore(
  options: ServedVersionStoreOptions,
): ServedVersionStore {
  const {restores, clock, logger} = options;
  let history = createVersionHistory();
  let observedAtMs = -Infinity;

  const row = createRecentValueRow(options, {
    key: VERSIONS_KEY,
    content: 'the software versions that serve',
    codec: servedVersionsCodec,
    seen: () =>
      options.listAgeMs() <= options.maxListAgeMs
        ? namedVersions(options.listedUpstreams())
        : undefined,
    onWritten: written =>
      logger.info('stream_versions_recorded', {versions: describe(written)}),
  });
  const observeList = () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - observedAtMs < OBSERVATION_INTERVAL_MS) return;
    observedAtMs = nowMs;
    history.observe(options.listedUpstreams(), nowMs - options.listAgeMs());
  };
  restores.subscribe(() => {
    // Upstreams that registered just before the restore may be missing in it.
    history = createVersionHistory();
  });
  const read = async (): Promise<StoreReading | undefined> => {
    const sentAtMs = clock.monotonicMs();
    try {
      const [served, registered] = await Promise.all([
        row.read(),
        options.readRegistered(),
      ]);
      return {served, registered, sentAtMs};
    } catch (error) {
      const operation = 'read the software versions that served';
      const reason = (error as Error).message;
      logger.warn('store_failed', {operation, reason});
      return undefined;
    }
  };
  const readShared = createSharedRead(read, clock);
  return {
    update() {
      observeList();
      row.update();
    },
    async onlyVersion(service) {
      const reading = await readShared();
      if (!reading) return undefined;
      const {served, registered, sentAtMs} = reading;
      const upstreams = [...registered, ...options.listedUpstreams()];
      history.observe(upstreams, sentAtMs);
      return (
        history.onlyVersion(service, sentAtMs) ??
        onlyServedVersion(
          served,
          service,
          row.observe(namedVersions(upstreams)),
        )
      );
    },
  };
}

function describe({values}: RecentValues): string {
  return [...values]
    .map(
      ([service, versions]) => `${service}: ${[...versions.keys()].join(' ')}`,
    )
    .join('; ');
}
