import type {UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {
  CallDialect,
  RecordFeed,
  TableService,
  UsageReceiver,
} from '@sardinestile/ports';
import type {RouteTable} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';

/** A host and a port. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** What a gateway is made of. */
export interface GatewayOptions {
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
  usageWindowMs: number;
  /** Time for which a duty is held without renewal. */
  leaseMs: number;
  /** Time after its withdrawal from which a key must not work. */
  keyWithdrawalLimitMs: number;
  /** Time after which a leaving upstream must get no new request. */
  drainLimitMs: number;
  /** Second sends that are allowed in a window, as a share of the requests. */
  retryRatio: number;
  retryWindowMs: number;
  /** Second sends that are allowed in a window beyond the share, fleet-wide. */
  retryAllowance: number;
  /** Time after which a stopping process is killed. */
  stopGraceMs: number;
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
}
