import type {ConfigStore} from '@sardinestile/store';
import type {Logger} from '@sardinestile/logger';
import type {Instance, InstanceList} from '@sardinestile/ports';
import {decodeConfigUpdate, type ConfigReplica} from '@sardinestile/replica';
import {pullConfig} from '@sardinestile/session';

/** Mean time between two polls of the configuration store. */
const POLL_INTERVAL_MS = 1_000;

/**
 * Random jitter of the poll interval, as a fraction of it in either direction.
 */
const POLL_JITTER = 0.2;

/** Minimum time between two reads of the instance list. */
const INSTANCES_INTERVAL_MS = 2_000;

/**
 * Number of peer entries that are queried for the configuration while the store
 * cannot be read.
 */
const MAX_QUERIED_PEERS = 3;

/** Timeout of a configuration pull from a peer. */
const PEER_TIMEOUT_MS = 1_000;

/** Options for startConfigFollower. */
export interface ConfigFollowerOptions {
  instance: string;
  store: ConfigStore;
  replica: ConfigReplica;
  instanceList: InstanceList;
  logger: Logger;
  /**
   * Time since the last successful read from the store or a peer after which
   * keys no longer count as fresh.
   */
  keyFreshnessLimitMs: number;
  /** Called after each read of the instance list. */
  onInstancesRead: (instances: Instance[]) => void;
}

/** Keeps an entry's configuration replica and instance list up to date. */
export interface ConfigFollower {
  /**
   * Whether the configuration was read recently enough that a revoked key
   * would be known here.
   */
  readonly areKeysFresh: boolean;
  /** All instances as of the last successful read of the list. */
  readonly instances: readonly Instance[];
  stop(): void;
}

/**
 * Starts polling the store, with peers as a fallback; resolves after the first
 * poll.
 */
export async function startConfigFollower(
  options: ConfigFollowerOptions,
): Promise<ConfigFollower> {
  const {store, replica, logger} = options;
  let instances: Instance[] = [];
  let lastRefreshAtMs = -Infinity;
  let isStopped = false;
  let instancesReadAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  const findPeerEntries = () =>
    instances.filter(i => i.role === 'entry' && i.id !== options.instance);

  const refreshInstances = async () => {
    if (performance.now() - instancesReadAtMs < INSTANCES_INTERVAL_MS) return;
    try {
      instances = await options.instanceList.list();
      instancesReadAtMs = performance.now();
      options.onInstancesRead(instances);
    } catch (error) {
      logStoreFailure('list instances', error);
    }
  };
  const refreshFromStore = async (): Promise<boolean> => {
    try {
      await store.refresh();
      return true;
    } catch (error) {
      logStoreFailure('read configuration', error);
      return false;
    }
  };
  /**
   * Pulls the configuration from a random set of peers. Returns true if one
   * answered, or if the instance list is known and holds no other entry, as then
   * no other entry can have accepted a change.
   */
  const refreshFromPeers = async (): Promise<boolean> => {
    const peers = shuffle(findPeerEntries()).slice(0, MAX_QUERIED_PEERS);
    if (peers.length === 0) return instances.length > 0;
    const answers = await Promise.allSettled(
      peers.map(async peer => {
        const push = await pullConfig({
          address: peer.address,
          sinceVersion: replica.version,
          timeoutMs: PEER_TIMEOUT_MS,
        });
        replica.apply(decodeConfigUpdate(push));
      }),
    );
    return answers.some(answer => answer.status === 'fulfilled');
  };
  const poll = async () => {
    const startedAtMs = performance.now();
    await refreshInstances();
    const isFresh = (await refreshFromStore()) || (await refreshFromPeers());
    if (isFresh) lastRefreshAtMs = startedAtMs;
  };
  const schedule = () => {
    if (isStopped) return;
    const jitterFactor = 1 + POLL_JITTER * (2 * Math.random() - 1);
    timer = setTimeout(async () => {
      await poll();
      schedule();
    }, POLL_INTERVAL_MS * jitterFactor);
  };
  const logStoreFailure = (operation: string, error: unknown) => {
    const reason = (error as Error).message;
    logger.warn('store_failed', {operation, reason});
  };

  await poll();
  schedule();
  return {
    get areKeysFresh() {
      return performance.now() - lastRefreshAtMs < options.keyFreshnessLimitMs;
    },
    get instances() {
      return instances;
    },
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

function shuffle<T>(items: readonly T[]): T[] {
  return items
    .map(item => ({item, order: Math.random()}))
    .sort((a, b) => a.order - b.order)
    .map(entry => entry.item);
}
