import type {HeapBudget} from '@sardinestile/connections';
import type {Logger} from '@sardinestile/logger';
import type {BufferCollector} from '@sardinestile/memory';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {EntryRetryBudget} from '@sardinestile/placement';
import type {TableService} from '@sardinestile/ports';
import type {ConfigReplica} from '@sardinestile/replica';
import type {RandomSource} from '@sardinestile/types';
import type {BodyBudget} from './body_budget.js';
import type {ConfigFollower} from './config_follower.js';
import type {OrganisationLimits} from './organisation_limits.js';
import type {RequestRegistry} from './request_registry.js';
import type {SessionPool} from './session_pool.js';

/** Records token usage by organisation. */
export interface UsageRecorder {
  record(
    organisation: string,
    usage: {promptTokens: number; outputTokens: number},
  ): void;
}

/** State and services that the components of an entry share. */
export interface EntryContext {
  instance: string;
  availabilityZone: string;
  maxBodyBytes: number;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Heap that callers' connections and requests take. */
  heapBudget: HeapBudget;
  /** Bodies of callers' requests. */
  bodyBudget: BodyBudget;
  bufferCollector: BufferCollector;
  replica: ConfigReplica;
  follower: ConfigFollower;
  pool: SessionPool;
  registry: RequestRegistry;
  limits: OrganisationLimits;
  retryBudget: EntryRetryBudget;
  random: RandomSource;
  table: TableService;
  usage: UsageRecorder;
}
