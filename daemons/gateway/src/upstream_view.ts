import type {Fleet, UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {RecordFeed} from '@sardinestile/ports';
import type {Clock} from '@sardinestile/types';
import {followFeed} from './follow_feed.js';

/**
 * Calls within the time in which a leaving upstream must be known. Every
 * heartbeat is a change, so that calls without a pause would never wait.
 */
const CALLS_PER_DRAIN_LIMIT = 3.2;

/** Longest wait for news of the upstreams, in milliseconds. */
const WAIT_MS = 2_000;

/** Keeps the fleet's membership up to date. */
export interface UpstreamView {
  /** Whether the upstreams were read once. */
  readonly isKnown: boolean;
  reread(): void;
  stop(): void;
}

/** What a view follows. */
export interface UpstreamViewOptions {
  feed: RecordFeed<UpstreamRecord>;
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
  const {fleet, clock, logger} = options;
  const {membership} = fleet;
  let isKnown = false;
  const feed = followFeed({
    feed: options.feed,
    clock,
    waitMs: WAIT_MS,
    minIntervalMs: options.drainLimitMs / CALLS_PER_DRAIN_LIMIT,
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
      },
      onProof: () => undefined,
      onFailure(reason) {
        membership.noteStoreFailure(clock.monotonicMs());
        logger.warn('store_failed', {operation: 'follow upstreams', reason});
      },
    },
  });
  return {
    get isKnown() {
      return isKnown;
    },
    reread: () => feed.restart(),
    stop: () => feed.stop(),
  };
}
