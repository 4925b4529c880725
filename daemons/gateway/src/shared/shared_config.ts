import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {ConfirmedConfig} from '@sardinestile/peer';
import type {FeedEntry, FeedPage, RecordFeed} from '@sardinestile/ports';
import type {OperatorRecord} from '@sardinestile/route_table';
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

/** Keys of the records of a replica. */
const CONFIG_KEY = 'config';
const ZONES_KEY = 'zones';

/** Options for `createSharedConfig`. */
export interface SharedConfigOptions {
  instance: string;
  /** Feed of the configuration and of the zones out of service in the store. */
  store: RecordFeed<OperatorRecord>;
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
): FailoverFeed<OperatorRecord> {
  const {instance, clock, logger} = options;
  let replica: FeedReplica<OperatorRecord> | undefined;
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
): FeedReplica<OperatorRecord> {
  const fetchPage = async (
    atLeastVersion: number,
    waitMs: number,
  ): Promise<FeedPage<OperatorRecord>> => {
    const confirmed = await options.fetchFromPeer(
      address,
      options.knownVersion(),
      waitMs,
    );
    const {table, zones, ageMs, storeVersion} = confirmed;
    if (ageMs > options.maxAgeMs) {
      throw new Error(`the confirmation is ${Math.round(ageMs)} ms old`);
    }
    if (storeVersion === undefined) {
      throw new Error('the peer has not read the store');
    }
    // A gateway of an earlier build does not know zones, and would hide them.
    if (!zones) throw new Error('the peer reports no zones');
    const entries: Array<FeedEntry<OperatorRecord>> = [
      {
        key: ZONES_KEY,
        value: {kind: 'zoneList', list: zones},
        findings: [],
      },
    ];
    if (table) {
      const value: OperatorRecord = {kind: 'routeTable', table};
      entries.push({key: CONFIG_KEY, value, findings: []});
    }
    return {
      entries,
      // This gateway may have read the store itself, later than the reader.
      version: Math.max(atLeastVersion, storeVersion),
      ageMs,
    };
  };
  return {
    name,
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
