import type {Fleet} from '@sardinestile/fleet';
import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {CallDialect} from '@sardinestile/ports';
import type {RouteIndex} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import type {ConnectionPool} from './connection_pool.js';
import type {RepeatBudgets} from './repeat_budgets.js';
import type {UsualWork} from './usual_work.js';
import type {GatewayCount} from './gateway_count.js';
import type {FleetReporter} from './fleet_reporter.js';

/** What is known of the fleet's duty. */
export interface DutyState {
  /** Whether some gateway was seen to hold it lately. */
  isHeldBySome(): boolean;
  /** This gateway's token; undefined unless it holds the duty. */
  fencingToken(): number | undefined;
}

/** What serving a call needs; one per process. */
export interface GatewayContext {
  clock: Clock;
  dialect: CallDialect;
  fleet: Fleet;
  connections: ConnectionPool;
  budgets: RepeatBudgets;
  usualWork: UsualWork;
  /** Counts a request that an upstream began for an organisation. */
  countUsage: (organisation: string) => void;
  /** Tells this gateway's model and the others what was placed where. */
  reporter: FleetReporter;
  /** Gateways that share what is limited for all of them. */
  gateways: GatewayCount;
  /** Upper bound of the time since the configuration was known to be the newest. */
  configAgeMs: () => number;
  /** Whether this process stood still after a time; what took so long was not the upstream then. */
  stoodStillSince: (atMs: number) => boolean;
  /** Upper bound of the age of what is known of the upstreams. */
  upstreamsAgeMs: () => number;
  /** Gateways that were heard lately. */
  peers: () => readonly LivePeer[];
  duty: DutyState;
  /** Age of the keys' view beyond which keyed routes are not served. */
  maxKeyAgeMs: () => number;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Whether requests that arrive now could not be finished before the stop. */
  isClosing: () => boolean;
  /** The configuration in force; undefined before the first. */
  routes: () => RouteIndex | undefined;
}
