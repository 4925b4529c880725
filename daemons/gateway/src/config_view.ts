import {
  createFreshness,
  readClocks,
  type ClockReading,
} from '@sardinestile/freshness';
import type {Logger} from '@sardinestile/logger';
import type {ConfigProof} from '@sardinestile/peer';
import type {RecordFeed} from '@sardinestile/ports';
import {
  createRouteIndex,
  type RouteIndex,
  type RouteTable,
} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import {followFeed} from './follow_feed.js';

/** Age of the view from which peers are asked, in waits; it is up to two between two answers of the store. */
const ASK_PEERS_AGE_WAITS = 2.4;

/** The configuration that this gateway believes to be in force. */
export interface ConfigView {
  /** Undefined before the first version. */
  routes(): RouteIndex | undefined;
  /** Upper bound of the time since the version was known to be the newest. */
  ageMs(): number;
  /** What this gateway can prove to a peer that has another version. */
  prove(haveVersion: number): ConfigProof | undefined;
  /** Tells of the version in force, if there is one, and of each later one. */
  subscribe(onApplied: (table: RouteTable) => void): void;
  /** Asks a peer where the store has not answered for a while. */
  askPeersIfStale(): void;
  /** Takes the view as unproved and reads it again. */
  invalidate(): void;
  reread(): void;
  stop(): void;
}

/** What a view follows. */
export interface ConfigViewOptions {
  feed: RecordFeed<RouteTable>;
  /** Longest wait of one call; a proof of the view is as old as the wait. */
  waitMs: number;
  clock: Clock;
  logger: Logger;
  /** Asks some peer; rejects if none can answer. */
  askPeer: (haveVersion: number) => Promise<ConfigProof>;
}

/** Follows the configuration; its version only rises. */
export function createConfigView(options: ConfigViewOptions): ConfigView {
  const {clock, logger} = options;
  const askPeersAgeMs = ASK_PEERS_AGE_WAITS * options.waitMs;
  const freshness = createFreshness();
  let routes: RouteIndex | undefined;
  const subscribers: Array<(table: RouteTable) => void> = [];
  let isAsking = false;

  const apply = (table: RouteTable, source: string) => {
    if (routes && table.version <= routes.table.version) return;
    routes = createRouteIndex(table);
    subscribers.forEach(onApplied => onApplied(table));
    logger.info('config_applied', {version: table.version, source});
  };
  const feed = followFeed({
    feed: options.feed,
    clock,
    waitMs: options.waitMs,
    observer: {
      onPage({entries}) {
        for (const {value, findings} of entries) {
          if (value) apply(value, 'store');
          else logger.warn('config_rejected', {reason: findings.join('; ')});
        }
      },
      onProof: sentAt => freshness.prove(sentAt),
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
  const ask = async () => {
    const askedAt = readClocks(clock);
    const haveVersion = routes?.table.version ?? 0;
    const proof = await options.askPeer(haveVersion);
    if (proof.table) apply(proof.table, 'peer');
    if (proof.version === routes?.table.version) {
      freshness.prove(earlier(askedAt, proof.ageMs));
    }
  };
  return {
    routes: () => routes,
    ageMs,
    prove(haveVersion) {
      const age = ageMs();
      if (!routes || !Number.isFinite(age)) return undefined;
      const {table} = routes;
      return {
        version: table.version,
        ageMs: age,
        table: table.version === haveVersion ? undefined : table,
      };
    },
    subscribe(onApplied) {
      subscribers.push(onApplied);
      if (routes) onApplied(routes.table);
    },
    askPeersIfStale() {
      if (isAsking || ageMs() < askPeersAgeMs) return;
      isAsking = true;
      ask()
        .catch((error: Error) =>
          logger.info('peer_failed', {
            operation: 'ask for the configuration',
            reason: error.message,
          }),
        )
        .finally(() => (isAsking = false));
    },
    invalidate() {
      freshness.invalidate();
      feed.restart();
    },
    reread: () => feed.restart(),
    stop: () => feed.stop(),
  };
}

function earlier(reading: ClockReading, byMs: number): ClockReading {
  return {
    monotonicMs: reading.monotonicMs - byMs,
    wallMs: reading.wallMs - byMs,
  };
}
