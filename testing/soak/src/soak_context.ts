import type {GatewayCluster, LoopPolls} from '@sardinestile/hosting_tests';
import type {Disturbance} from './disturbances.js';
import type {StatedLimit} from './fleet_bounds.js';
import type {GatewayProcess} from './gateway_process.js';
import type {PlannedSignal} from './lost_requests.js';
import type {LargeCallsResult} from './run_large_callers.js';
import type {TcpProxy} from './tcp_proxy.js';

/** Options for runSoak. */
export interface SoakOptions {
  seed: number;
  gateways: number;
  upstreams: number;
  durationMs: number;
  /** Rate of the calls on new connections. */
  callsPerSecond: number;
  /** Callers for each gateway that keep their connections open. */
  keptCallers: number;
  /** Receives a line for each injected fault. */
  logFault: (line: string) => void;
}

/** State of a running soak. */
export interface SoakContext {
  cluster: GatewayCluster;
  gateways: GatewayProcess[];
  /** Gateways that faults of single gateways may hit. */
  exposedGateways: GatewayProcess[];
  storeProxies: TcpProxy[];
  random: () => number;
  /** Generator for upstreams, so that faults do not depend on the number of requests. */
  upstreamRandom: () => number;
  /** Generator for hostile clients, so that other faults do not depend on them. */
  hostileRandom: () => number;
  /** Resolve when hostile clients have ended. */
  hostileRuns: Array<Promise<void>>;
  /** Generator for large calls, so that other faults do not depend on them. */
  largeRandom: () => number;
  /** Resolve when callers of large calls have ended. */
  largeRuns: Array<Promise<LargeCallsResult>>;
  revokedKeys: Map<string, number>;
  keys: string[];
  disturbances: Disturbance[];
  plannedSignals: PlannedSignal[];
  /** Prompt parts that crash upstreams, and those of them that callers send now. */
  harmfulParts: string[];
  sentHarmfulParts: Set<string>;
  /** Bodies of requests that crash upstreams, and those that callers send now. */
  harmfulBodies: string[];
  sentHarmfulBodies: Set<string>;
  /** Number of the newest software version of the upstreams. */
  newestVersion: number;
  limits: StatedLimit[];
  /** Tells how late the soak notices what happens. */
  loopPolls: LoopPolls;
  runLater: (delayMs: number, action: () => void) => void;
}

/** Time until a gateway that was ended is ready again, in milliseconds. */
export const RESTART_MS = 1_500;

/** Injects a fault and returns a description for the log. */
export type Fault = (soak: SoakContext) => string;

/** Records that a fault affects a gateway, or all of them, from now on. */
export function disturb(
  {disturbances}: SoakContext,
  durationMs: number,
  gateway?: GatewayProcess,
  isPlanned = false,
): void {
  const fromMs = performance.now();
  const untilMs = fromMs + durationMs;
  disturbances.push({gateway: gateway?.name, fromMs, untilMs, isPlanned});
}

/** Returns a random item. */
export function pickRandom<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)];
}

/** Resolves after a time. */
export function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
