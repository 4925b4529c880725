import type {UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {
  CallDialect,
  RecordFeed,
  TableService,
  UpstreamStarter,
  UsageReceiver,
} from '@sardinestile/ports';
import type {RouteTable} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';

/** A host and a port. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Limits of the deployment that may change while a gateway runs. */
export interface DeploymentLimits {
  /** Time after its withdrawal from which a key must not work. */
  keyWithdrawalLimitMs: number;
  /** Second sends that are allowed in a window, as a share of the requests. */
  retryRatio: number;
  retryWindowMs: number;
  /** Second sends that are allowed in a window beyond the share, fleet-wide. */
  retryAllowance: number;
}

/** What a gateway is made of. */
export interface GatewayOptions extends DeploymentLimits {
  instance: string;
  callerAddress: ListenAddress;
  readinessAddress: ListenAddress | undefined;
  metricsAddress: ListenAddress | undefined;
  /** Where the other gateways reach this one, by datagram and by HTTP. */
  peerAddress: ListenAddress;
  dialect: CallDialect;
  configuration: RecordFeed<RouteTable>;
  upstreams: RecordFeed<UpstreamRecord>;
  /** Rows of the system itself. */
  table: TableService;
  usageReceiver: UsageReceiver | undefined;
  /** Orders upstreams; absent where the platform does not take orders. */
  upstreamStarter: UpstreamStarter | undefined;
  usageWindowMs: number;
  /** Time for which a duty is held without renewal. */
  leaseMs: number;
  /** Time after which a leaving upstream must get no new request. */
  drainLimitMs: number;
  /** Time after which a stopping process is killed. */
  stopGraceMs: number;
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
}
