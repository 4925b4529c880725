import type {GatewayCluster} from '@sardinestile/hosting_tests';
import type {Disturbance, StatedLimit} from './fleet_bounds.js';
import type {GatewayProcess} from './gateway_process.js';
import type {TcpProxy} from './tcp_proxy.js';

/** Options for runSoak. */
export interface SoakOptions {
  seed: number;
  gateways: number;
  upstreams: number;
  durationMs: number;
  callsPerSecond: number;
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
  revokedKeys: Map<string, number>;
  keys: string[];
  disturbances: Disturbance[];
  /** Prompt parts that crash upstreams, and those of them that callers send now. */
  harmfulParts: string[];
  sentHarmfulParts: Set<string>;
  /** Bodies of requests that crash upstreams, and those that callers send now. */
  harmfulBodies: string[];
  sentHarmfulBodies: Set<string>;
  /** Number of the newest software version of the upstreams. */
  newestVersion: number;
  limits: StatedLimit[];
  runLater: (delayMs: number, action: () => void) => void;
}

/** Returns a random item. */
export function pickRandom<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)];
}

/** Resolves after a time. */
export function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
