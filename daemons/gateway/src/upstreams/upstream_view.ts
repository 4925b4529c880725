import type {UpstreamFleet} from '@sardinestile/fleet';
import {createFreshnessTracker, readClocks} from '@sardinestile/freshness';
import type {Logger} from '@sardinestile/logger';
import type {Clock} from '@sardinestile/types';
import {followFeed} from '../shared/follow_feed.js';
import type {SharedUpstreams} from '../shared/shared_upstreams.js';

/**
 * Calls to the store within the drain limit. Each heartbeat of an upstream is
 * a change, so that without a minimum interval calls would follow each other
 * at once.
 */
const CALLS_PER_DRAIN_LIMIT = 3.2;

/**
 * Shortest time between two calls for the list of a peer, in milliseconds; upstreams
 * that start together come in one page.
 */
const MIN_COPY_INTERVAL_MS = 100;

/**
 * Longest wait of a call, as a share of the drain limit; replicas at peers must
 * not be older than half of the limit.
 */
const WAIT_SHARE_OF_DRAIN_LIMIT = 0.15;

/** Keeps the fleet's list of upstreams up to date. */
export interface UpstreamView {
  /** Whether the upstreams have been read at least once. */
  readonly isLoaded: boolean;
  /** Upper bound of the age of the list, in milliseconds. */
  ageMs(): number;
  /** Removes upstreams that expired during a store outage and did not register again. */
  removeExpired(): void;
  /** Marks the list as out of date and reads all upstreams again. */
  reread(): void;
  stop(): void;
}

/** Options for `createUpstreamView`. */
export interface UpstreamViewOptions {
  shared: SharedUpstreams;
  fleet: UpstreamFleet;
  clock: Clock;
  logger: Logger;
  /** Time after which a draining upstream must get no new request, in milliseconds. */
  drainLimitMs: number;
  /** Called when upstreams may have been added or removed. */
  onChanged: () => void;
}

/** Follows the registered upstreams in the store or in a peer's replica. */
export function createUpstreamView(options: UpstreamViewOptions): UpstreamView {
  const {fleet, clock, logger, shared} = options;
  const {membership} = fleet;
  const freshness = createFreshnessTracker();
  let isKnown = false;
  const minStoreIntervalMs = options.drainLimitMs / CALLS_PER_DRAIN_LIMIT;
  /** Latest ignored values by upstream, which are in each heartbeat. */
  const ignoredValues = new Map<string, string>();
  const logFindings = (upstream: string, isUsed: boolean, reason: string) => {
    const isLogged = isUsed && ignoredValues.get(upstream) === reason;
    if (isUsed && reason) ignoredValues.set(upstream, reason);
    else ignoredValues.delete(upstream);
    if (!reason || isLogged) return;
    logger.warn(isUsed ? 'upstream_value_ignored' : 'upstream_rejected', {
      upstream,
      reason,
    });
  };
  const feed = followFeed({
    feed: shared.feed,
    clock,
    waitMs: Math.round(WAIT_SHARE_OF_DRAIN_LIMIT * options.drainLimitMs),
    minIntervalMs: () =>
      shared.feed.isReadingOrigin ? minStoreIntervalMs : MIN_COPY_INTERVAL_MS,
    observer: {
      onPage(page, isSnapshot) {
        const nowMs = clock.monotonicMs();
        if (isSnapshot) {
          const records = page.entries.flatMap(({value}) => value ?? []);
          membership.replaceAll(records, nowMs);
          isKnown = true;
        }
        for (const {key, value, findings} of page.entries) {
          logFindings(key, value !== undefined, findings.join('; '));
          if (isSnapshot) continue;
          if (value) membership.put(value, nowMs);
          else membership.remove(key, nowMs);
        }
        options.onChanged();
        shared.publish(page.version);
      },
      onUpToDate(sentAt) {
        freshness.confirm(sentAt);
        shared.recordUpToDate(sentAt);
      },
      onFailure(reason) {
        membership.recordStoreFailure(clock.monotonicMs());
        logger.warn('store_failed', {operation: 'follow upstreams', reason});
      },
      onRecovered: awayMs =>
        logger.info('store_regained', {
          operation: 'follow upstreams',
          awayMs: Math.round(awayMs),
        }),
    },
  });
  return {
    get isLoaded() {
      return isKnown;
    },
    ageMs: () => freshness.ageMs(readClocks(clock)),
    removeExpired() {
      if (membership.removeExpired(clock.monotonicMs())) shared.republish();
    },
    reread() {
      freshness.invalidate();
      shared.invalidate();
      feed.restart();
    },
    stop: () => feed.stop(),
  };
}
