import type {ResourceCosts, UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {
  HeaderCodec,
  PromptCacheReader,
  RecordFeed,
  StoreRestores,
  TableService,
  UpstreamScaler,
  UsageReceiver,
} from '@sardinestile/ports';
import type {OperatorRecord} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import type {FairShareSettings} from './shared/fair_shares.js';

/** Host and port to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Limits of the deployment that can change while a gateway runs. */
export interface DeploymentLimits {
  /** Time after its revocation at which a key must have stopped working, in milliseconds. */
  keyWithdrawalLimitMs: number;
  /** Retries allowed in a window, as a share of the requests. */
  retryRatio: number;
  retryWindowMs: number;
  /** Retries allowed in a window beyond that share, for the whole fleet. */
  retryAllowance: number;
}

/** Options for `startGateway`. */
export interface GatewayOptions extends DeploymentLimits {
  instance: string;
  callerAddress: ListenAddress;
  readinessAddress: ListenAddress | undefined;
  metricsAddress: ListenAddress | undefined;
  /** Address for the other gateways, for UDP datagrams and for HTTP. */
  peerAddress: ListenAddress;
  headerCodec: HeaderCodec;
  /** Costs of the resources that placements use; the defaults if absent. */
  resourceCosts?: ResourceCosts;
  /** Sharing of scarce capacity between organisations; the defaults if absent. */
  fairShares?: FairShareSettings;
  configuration: RecordFeed<OperatorRecord>;
  upstreams: RecordFeed<UpstreamRecord>;
  /** Table with the system's own rows. */
  table: TableService;
  /**
   * Whether the whole fleet starts for the first time, so that no stream of before can
   * be resumed; false if absent.
   */
  isFirstStart?: boolean;
  /** Restores of the store from a copy; none if absent. */
  storeRestores?: StoreRestores;
  usageReceiver: UsageReceiver | undefined;
  /** Reads the engines' prompt caches after a restart; not read if absent. */
  promptCacheReader?: PromptCacheReader;
  /** Sets the number of upstreams; undefined if the platform offers no scaling. */
  upstreamScaler: UpstreamScaler | undefined;
  /** Memory above which the platform kills the process, in megabytes; absent for no limit. */
  memoryLimitMb?: number;
  /** Descriptors that the process may have open; absent for no limit. */
  maxDescriptors?: number;
  usageWindowMs: number;
  /** Time after its end in which the usage of a window has to be reported, in milliseconds. */
  usageDueMs: number;
  /** Time after which a lease expires without renewal, in milliseconds. */
  leaseMs: number;
  /** Time after which a draining upstream must get no new request, in milliseconds. */
  drainLimitMs: number;
  /**
   * Time after which upstreams of a zone that is out of service must receive no request,
   * in milliseconds; 5,000 if absent.
   */
  zoneOutOfServiceLimitMs?: number;
  /** Time after which the platform kills a stopping process, in milliseconds. */
  stopGraceMs: number;
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
}
