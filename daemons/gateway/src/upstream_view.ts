import type {Fleet} from '@sardinestile/fleet';
import {createFreshness, readClocks} from '@sardinestile/freshness';
import type {Logger} from '@sardinestile/logger';
import type {Clock} from '@sardinestile/types';
import {followFeed} from './follow_feed.js';
import type {SharedUpstreams} from './shared_upstreams.js';

/**
 * Calls within the time in which a leaving upstream must be known. Every
 * heartbeat is a change, so that calls without a pause would never wait.
 */
const CALLS_PER_DRAIN_LIMIT = 3.2;

/** Pause between two calls for another gateway's copy, in milliseconds; upstreams that come together make one change. */
const COPY_PAUSE_MS = 100;

/** Longest wait of a call, as a share of the same time; what a gateway passes on must not be older than half of it. */
const WAIT_SHARE = 0.15;

/** Keeps the fleet's membership up to date. */
export interface UpstreamView {
  /** Whether the upstreams were read once. */
  readonly isKnown: boolean;
  /** Upper bound of the age of what is known, in milliseconds. */
  ageMs(): number;
  /** Drops upstreams that have not come back in time. */
  expire(): void;
  /** Takes what is known as out of date and reads it again. */
  reread(): void;
  stop(): void;
}

/** What a view follows. */
export interface UpstreamViewOptions {
  shared: SharedUpstreams;
  fleet: Fleet;
  clock: Clock;
  logger: Logger;
  /** Time after which a leaving upstream must get no new request. */
  drainLimitMs: number;
  /** Called when upstreams may have come or gone. */
  onChanged: () => void;
}

/** Follows the upstreams that are registered. */
export function createUpstreamView(options: UpstreamViewOptions): UpstreamView {
  const {fleet, clock, logger, shared} = options;
  const {membership} = fleet;
  const freshness = createFreshness();
  let isKnown = false;
  const storePauseMs = options.drainLimitMs / CALLS_PER_DRAIN_LIMIT;
  const feed = followFeed({
    feed: shared.feed,
    clock,
    waitMs: Math.round(WAIT_SHARE * options.drainLimitMs),
    minIntervalMs: () =>
      shared.feed.isAtOrigin ? storePauseMs : COPY_PAUSE_MS,
    observer: {
      onPage(page, isWhole) {
        const nowMs = clock.monotonicMs();
        if (isWhole) {
          const records = page.entries.flatMap(({value}) => value ?? []);
          membership.replaceAll(records, nowMs);
          isKnown = true;
        }
        for (const {key, value, findings} of page.entries) {
          if (findings.length > 0) {
            logger.warn('upstream_rejected', {
              upstream: key,
              reason: findings.join('; '),
            });
          }
          if (isWhole) continue;
          if (value) membership.put(value);
          else membership.remove(key, nowMs);
        }
        options.onChanged();
        shared.publish(page.version);
      },
      onProof(sentAt) {
        freshness.prove(sentAt);
        shared.prove(sentAt);
      },
      onFailure(reason) {
        membership.noteStoreFailure(clock.monotonicMs());
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
    get isKnown() {
      return isKnown;
    },
    ageMs: () => freshness.ageMs(readClocks(clock)),
    expire() {
      if (membership.expire(clock.monotonicMs())) shared.republish();
    },
    reread() {
      freshness.invalidate();
      shared.invalidate();
      feed.restart();
    },
    stop: () => feed.stop(),
  };
}
