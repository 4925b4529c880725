import {
  createFreshnessTracker,
  readClocks,
  subtractMs,
} from '@sardinestile/freshness';
import type {Logger} from '@sardinestile/logger';
import type {ConfirmedConfig} from '@sardinestile/peer';
import type {FeedEntry, FeedPage, RecordFeed} from '@sardinestile/ports';
import {
  createRouteIndex,
  type OperatorRecord,
  type RouteIndex,
  type RouteTable,
} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import {followFeed} from './follow_feed.js';
import type {ReportSource, ZoneView} from './zone_view.js';

/**
 * Age of the configuration from which any peer is asked, as a multiple of the
 * longest wait of a call. Confirmations of a healthy store are up to two waits
 * old, those that are followed at a peer up to three.
 */
const ASK_PEERS_AFTER_WAITS = 3.2;

/**
 * Time in which operators write again what a restore of the store has deleted,
 * in milliseconds.
 */
export const REWRITE_TIME_MS = 2_500;

/**
 * First and longest delay before all rows are read again because one could not be read, in
 * milliseconds: the fault may have been that of a response, and the row changes seldom.
 */
const MIN_REREAD_DELAY_MS = 500;
const MAX_REREAD_DELAY_MS = 10_000;

/** The newest configuration that this gateway knows. */
export interface ConfigView {
  /** Returns the configuration; undefined until the first version is loaded. */
  routes(): RouteIndex | undefined;
  /** Upper bound of the time since the version was confirmed as the newest, in milliseconds. */
  ageMs(): number;
  /**
   * Returns for a peer the version, its age and, if the peer has another
   * version, the configuration. Waits up to `waitMs` for another version or
   * another state of a zone.
   */
  getConfirmedConfig(
    haveVersion: number,
    waitMs: number,
  ): Promise<ConfirmedConfig | undefined>;
  /** Calls `onApplied` with the current version, if there is one, and with each later one. */
  subscribe(onApplied: (table: RouteTable) => void): void;
  /**
   * Records that the store was restored from a copy. Until the operators had
   * time to write their changes again, reads of the store confirm nothing but a
   * later version.
   */
  recordRestore(): void;
  /** Ends the waits of peers, as a zone went out of service or returned. */
  wakePeers(): void;
  /** Asks all peers for a later version, and for zones that are out of service. */
  askAllPeers(): void;
  /** Asks a peer if the store has not confirmed the version for a while. */
  askPeersIfStale(): void;
  /** Marks the version as unconfirmed and reads the configuration again. */
  invalidate(): void;
  /** Reads the configuration again. */
  reread(): void;
  stop(): void;
}

/** Options for `createConfigView`. */
export interface ConfigViewOptions {
  feed: RecordFeed<OperatorRecord>;
  /** Takes over what the feed and the peers report of the zones. */
  zones: ZoneView;
  /**
   * Longest wait of one call to the store, in milliseconds; a confirmation may
   * be as old as this.
   */
  waitMs: number;
  /** Shortest time between the starts of two calls, in milliseconds. */
  minIntervalMs: () => number;
  clock: Clock;
  logger: Logger;
  /** Fetches the version of a peer; rejects if no peer responds. */
  fetchFromPeer: (haveVersion: number) => Promise<ConfirmedConfig>;
  /** Fetches the versions of all peers, without those that do not respond. */
  fetchFromAllPeers: (haveVersion: number) => Promise<ConfirmedConfig[]>;
}

/** Follows the configuration in the store; the version never decreases. */
export function createConfigView(options: ConfigViewOptions): ConfigView {
  const {clock, logger, zones} = options;
  const askPeersAgeMs = ASK_PEERS_AFTER_WAITS * options.waitMs;
  const freshness = createFreshnessTracker();
  let routes: RouteIndex | undefined;
  const subscribers: Array<(table: RouteTable) => void> = [];
  /** Callbacks that end the waits of peers. */
  const wakeCallbacks = new Set<() => void>();
  let isSyncing = false;
  let versionAtRestore = -1;
  let distrustedUntilMs = -Infinity;
  let rereadDelayMs = MIN_REREAD_DELAY_MS;
  let rereadTimer: NodeJS.Timeout | undefined;
  /** Logged once, however often the row is read. */
  let lastRejection: string | undefined;

  const wakePeers = () => [...wakeCallbacks].forEach(wake => wake());
  const apply = (table: RouteTable, source: string) => {
    if (routes && table.version <= routes.table.version) return false;
    routes = createRouteIndex(table);
    subscribers.forEach(onApplied => onApplied(table));
    wakePeers();
    lastRejection = undefined;
    logger.info('config_applied', {version: table.version, source});
    return true;
  };
  /** Applies what a peer knows; zones first, so that no request is sent to them. */
  const applyFromPeer = ({table, zones: list}: ConfirmedConfig) => {
    if (list) zones.apply({kind: 'zoneList', list}, 'peer');
    if (table) apply(table, 'peer');
  };
  const logPeerFailure = (error: Error) =>
    logger.info('peer_failed', {
      operation: 'ask for the configuration',
      reason: error.message,
    });
  const waitForNextVersion = (waitMs: number) =>
    new Promise<void>(resolve => {
      const wake = () => {
        clearTimeout(timer);
        wakeCallbacks.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      wakeCallbacks.add(wake);
    });
  const reject = (reason: string) => {
    if (reason !== lastRejection) logger.warn('config_rejected', {reason});
    lastRejection = reason;
  };
  const scheduleReread = () => {
    if (rereadTimer) return;
    rereadTimer = setTimeout(() => {
      rereadTimer = undefined;
      feed.restart();
    }, rereadDelayMs);
    rereadDelayMs = Math.min(MAX_REREAD_DELAY_MS, 2 * rereadDelayMs);
  };
  const feed = followFeed({
    feed: options.feed,
    clock,
    waitMs: options.waitMs,
    minIntervalMs: options.minIntervalMs,
    observer: {
      onPage(page, isSnapshot) {
        for (const {value, findings} of page.entries) {
          const reason = findings.join('; ');
          if (!value) reject(reason);
          else if (value.kind !== 'routeTable') {
            zones.apply(value, sourceOf(page));
          } else if (apply(value.table, 'store') && reason) {
            const {version} = value.table;
            logger.warn('config_value_ignored', {version, reason});
          }
        }
        if (page.entries.some(isUnreadable)) scheduleReread();
        else if (isSnapshot) rereadDelayMs = MIN_REREAD_DELAY_MS;
      },
      onUpToDate(sentAt, page) {
        zones.confirm(page.version, sentAt.monotonicMs, sourceOf(page));
        const version = routes?.table.version ?? 0;
        const isTrusted =
          version > versionAtRestore ||
          clock.monotonicMs() >= distrustedUntilMs;
        if (isTrusted) freshness.confirm(sentAt);
      },
      onFailure: reason =>
        logger.warn('store_failed', {
          operation: 'follow configuration',
          reason,
        }),
      onRecovered: awayMs =>
        logger.info('store_regained', {
          operation: 'follow configuration',
          awayMs: Math.round(awayMs),
        }),
    },
  });
  const ageMs = () => freshness.ageMs(readClocks(clock));
  const syncFromPeer = async () => {
    const askedAt = readClocks(clock);
    const haveVersion = routes?.table.version ?? 0;
    const confirmed = await options.fetchFromPeer(haveVersion);
    applyFromPeer(confirmed);
    const confirmedAt = subtractMs(askedAt, confirmed.ageMs);
    if (confirmed.zones) {
      const {storeVersion} = confirmed.zones;
      zones.confirm(storeVersion, confirmedAt.monotonicMs, 'peer');
    }
    if (confirmed.version === routes?.table.version) {
      freshness.confirm(confirmedAt);
    }
  };
  return {
    routes: () => routes,
    ageMs,
    async getConfirmedConfig(haveVersion, waitMs) {
      if (waitMs > 0 && (routes?.table.version ?? 0) === haveVersion) {
        await waitForNextVersion(waitMs);
      }
      const age = ageMs();
      if (!Number.isFinite(age)) return undefined;
      const table = routes?.table;
      return {
        // Operators may not have written a first version yet.
        version: table?.version ?? 0,
        ageMs: age,
        storeVersion: feed.version,
        table: table?.version === haveVersion ? undefined : table,
        zones: zones.list(),
      };
    },
    subscribe(onApplied) {
      subscribers.push(onApplied);
      if (routes) onApplied(routes.table);
    },
    recordRestore() {
      zones.recordRestore();
      versionAtRestore = routes?.table.version ?? -1;
      distrustedUntilMs = clock.monotonicMs() + REWRITE_TIME_MS;
    },
    wakePeers,
    askAllPeers() {
      void options
        .fetchFromAllPeers(routes?.table.version ?? 0)
        .then(all => all.forEach(applyFromPeer))
        .catch(logPeerFailure);
    },
    askPeersIfStale() {
      if (isSyncing || ageMs() < askPeersAgeMs) return;
      isSyncing = true;
      syncFromPeer()
        .catch(logPeerFailure)
        .finally(() => (isSyncing = false));
    },
    invalidate() {
      freshness.invalidate();
      feed.restart();
    },
    reread: () => feed.restart(),
    stop() {
      clearTimeout(rereadTimer);
      feed.stop();
      wakePeers();
    },
  };
}

/** Whether a row, or that of a zone in a list, could not be read. */
function isUnreadable({value}: FeedEntry<OperatorRecord>): boolean {
  if (!value || value.kind === 'invalidZone') return true;
  return value.kind === 'zoneList' && value.list.unreadableZones.length > 0;
}

/** Only pages from the store itself state no age. */
function sourceOf({ageMs}: FeedPage<OperatorRecord>): ReportSource {
  return ageMs === undefined ? 'store' : 'peer';
}
