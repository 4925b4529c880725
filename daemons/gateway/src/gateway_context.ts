import type {ReturnSchedule} from '@sardinestile/admission';
import type {HeapBudget} from '@sardinestile/connections';
import type {UpstreamFleet} from '@sardinestile/fleet';
import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {BufferCollector} from '@sardinestile/memory';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {HeaderCodec} from '@sardinestile/ports';
import type {Quarantine} from '@sardinestile/quarantine';
import type {RouteIndex} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import type {ColdWatch} from './upstreams/cold_watch.js';
import type {CrashWatch} from './upstreams/crash_watch.js';
import type {ConnectionPool} from './upstreams/connection_pool.js';
import type {RetryBudgets} from './calls/retry_budgets.js';
import type {BodyAdmission} from './memory/body_admission.js';
import type {MemoryBudget} from './memory/memory_budget.js';
import type {ResponseTimes} from './calls/response_times.js';
import type {GatewayCount} from './shared/gateway_count.js';
import type {FairShares} from './shared/fair_shares.js';
import type {FleetReporter} from './shared/fleet_reporter.js';
import type {StreamContinuations} from './shared/stream_continuations.js';

/** State of the lease for the duties that one gateway does for the fleet. */
export interface DutyState {
  /** Whether any gateway was recently seen to hold the lease. */
  isHeldBySome(): boolean;
  /** Fencing token of this gateway; undefined unless it holds the lease. */
  fencingToken(): number | undefined;
}

/** Dependencies of the code that serves calls; one per process. */
export interface GatewayContext {
  clock: Clock;
  headerCodec: HeaderCodec;
  fleet: UpstreamFleet;
  connections: ConnectionPool;
  /** Counts what this process holds for callers and upstreams. */
  memoryBudget: MemoryBudget;
  bodyAdmission: BodyAdmission;
  /** Collects buffers that were read from callers and upstreams. */
  bufferCollector: BufferCollector;
  heapBudget: HeapBudget;
  retryBudgets: RetryBudgets;
  /** Measured times of responses, by which waiting and refusing are decided. */
  responseTimes: ResponseTimes;
  /** Turns of refused callers, by service. */
  returns: ReturnSchedule;
  /** Counts a request that an upstream started to answer as usage of its organisation. */
  countUsage: (organisation: string) => void;
  /** Records placements in this gateway's fleet model and reports them to the peers. */
  reporter: FleetReporter;
  /** Prompt parts and requests that crash upstreams. */
  quarantine: Quarantine;
  /** Shares of the organisations in scarce capacity. */
  fairShares: FairShares;
  crashWatch: CrashWatch;
  /** Upstreams that are cold or may have restarted. */
  coldWatch: ColdWatch;
  /** Software versions at which streams have to go on. */
  continuations: StreamContinuations;
  /** Unix time in milliseconds on which the gateways agree. */
  fleetTimeMs: () => number;
  /** Numbers of gateways among which fleet-wide limits are divided. */
  gateways: GatewayCount;
  /**
   * Upper bound of the time since the configuration was confirmed as the
   * newest, in milliseconds.
   */
  configAgeMs: () => number;
  /** Whether this process was paused after a time; delays since then are not the upstream's. */
  hasPausedSince: (atMs: number) => boolean;
  /** Upper bound of the age of the list of upstreams, in milliseconds. */
  upstreamsAgeMs: () => number;
  /** Gateways of the same group whose heartbeats arrived recently. */
  peers: () => readonly LivePeer[];
  duty: DutyState;
  /**
   * Age of the configuration beyond which routes that require a key are not
   * served, in milliseconds.
   */
  maxKeyAgeMs: () => number;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Whether new requests must be refused, as they could not be finished before the stop. */
  isRefusingRequests: () => boolean;
  /** Aborted when calls that are still open have to end, just before the process stops. */
  shutdownSignal: AbortSignal;
  /** The current configuration; undefined until the first one is loaded. */
  routes: () => RouteIndex | undefined;
}
