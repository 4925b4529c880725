import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {ConfirmedConfig} from '@sardinestile/peer';
import type {FeedPage, RecordFeed} from '@sardinestile/ports';
import type {RouteTable} from '@sardinestile/route_table';
import {
  createFailoverFeed,
  type FailoverFeed,
  type FeedReplica,
} from '@sardinestile/shared_feed';
import type {Clock} from '@sardinestile/types';
import {chooseStoreReader} from './store_reader.js';

/**
 * Time for which a gateway reads the store after a call to a reader failed, in
 * milliseconds.
 */
const STORE_FALLBACK_MS = 3_000;

/** Key of the only record of the feed. */
const CONFIG_KEY = 'config';

/** Options for `createSharedConfig`. */
export interface SharedConfigOptions {
  instance: string;
  /** Feed of the configuration in the store. */
  store: RecordFeed<RouteTable>;
  /** Gateways of the same group whose heartbeats arrived recently. */
  peers: () => readonly LivePeer[];
  /** Version of the configuration that this gateway has. */
  knownVersion: () => number;
  fetchFromPeer: (
    address: string,
    haveVersion: number,
    waitMs: number,
  ) => Promise<ConfirmedConfig>;
  /** Greatest age of a confirmation that is followed, in milliseconds. */
  maxAgeMs: number;
  /** Longest wait of a call to a reader, in milliseconds. */
  waitMs: number;
  clock: Clock;
  logger: Logger;
}

/**
 * Creates a feed of the configuration that some gateways of a group read from
 * the store and the others from them, so that the calls to the store do not
 * grow with the number of gateways. If a reader fails or its confirmation is
 * too old, the store is read in the same step.
 */
export function createSharedConfig(
  options: SharedConfigOptions,
): FailoverFeed<RouteTable> {
  const {instance, clock, logger} = options;
  let replica: FeedReplica<RouteTable> | undefined;
  return createFailoverFeed({
    origin: options.store,
    chooseReplica() {
      const reader = chooseStoreReader(instance, options.peers());
      if (!reader) return undefined;
      if (replica?.name !== reader.instance) {
        const {host, port} = reader.address;
        const address = `${host}:${port}`;
        replica = createConfigReplica(options, reader.instance, address);
      }
      return replica;
    },
    originFallbackMs: STORE_FALLBACK_MS,
    clock,
    onReplicaFailed: (peer, reason) =>
      logger.warn('peer_failed', {
        operation: `follow the configuration of ${peer}`,
        reason,
      }),
    onSourceChanged: peer => logger.info('config_source_changed', {peer}),
  });
}

function createConfigReplica(
  options: SharedConfigOptions,
  name: string,
  address: string,
): FeedReplica<RouteTable> {
  const fetchPage = async (
    atLeastVersion: number,
    waitMs: number,
  ): Promise<FeedPage<RouteTable>> => {
    const confirmed = await options.fetchFromPeer(
      address,
      options.knownVersion(),
      waitMs,
    );
    const {table, ageMs, storeVersion} = confirmed;
    if (ageMs > options.maxAgeMs) {
      throw new Error(`the confirmation is ${Math.round(ageMs)} ms old`);
    }
    if (storeVersion === undefined) {
      throw new Error('the peer has not read the store');
    }
    return {
      entries: table ? [{key: CONFIG_KEY, value: table, findings: []}] : [],
      // This gateway may have read the store itself, later than the reader.
      version: Math.max(atLeastVersion, storeVersion),
      ageMs,
    };
  };
  return {
    name,
    hasRemovedRecords: () => false,
    feed: {
      readAll: () => fetchPage(0, 0),
      async waitForChanges(version) {
        return {
          kind: 'changes',
          page: await fetchPage(version, options.waitMs),
        };
      },
    },
  };
}
