import type {UpstreamAdapter, UpstreamLoad} from '@sardinestile/adapters';
import type {Logger} from '@sardinestile/logger';

/** Time between two health probes of the upstream. */
const PROBE_INTERVAL_MS = 1_000;

/**
 * Consecutive failures (probes or refused connections) after which the upstream
 * counts as down.
 */
const FAILURES_UNTIL_DOWN = 2;

/** Weight of the newest token interval in the moving average. */
const TOKEN_INTERVAL_EWMA_WEIGHT = 0.05;

/** Options for startUpstreamMonitor. */
export interface UpstreamMonitorOptions {
  upstream: UpstreamAdapter;
  upstreamId: string;
  logger: Logger;
}

/**
 * Tracks an upstream's health, load and token rate from probes and from the
 * attempts that run there.
 */
export interface UpstreamMonitor {
  readonly isHealthy: boolean;
  /** Load as of the last successful probe. */
  readonly load: UpstreamLoad;
  /**
   * Moving average of the time between two tokens of a stream; 0 before the
   * first interval.
   */
  readonly tokenIntervalMs: number;
  recordTokenInterval(intervalMs: number): void;
  /**
   * Records a request that the upstream didn't run, for example because it
   * refused the connection.
   */
  recordUnreachable(): void;
  stop(): void;
}

/** Starts probing the upstream. */
export function startUpstreamMonitor(
  options: UpstreamMonitorOptions,
): UpstreamMonitor {
  let consecutiveFailures = 0;
  let load: UpstreamLoad = {running: 0, waiting: 0};
  let tokenIntervalMs = 0;
  let isProbing = false;

  const recordFailure = (reason: string) => {
    consecutiveFailures++;
    if (consecutiveFailures !== FAILURES_UNTIL_DOWN) return;
    const upstream = options.upstreamId;
    options.logger.warn('upstream_failed', {upstream, reason});
  };
  const probe = async () => {
    if (isProbing) return;
    isProbing = true;
    try {
      load = await options.upstream.readLoad();
      consecutiveFailures = 0;
    } catch (error) {
      recordFailure((error as Error).name);
    }
    isProbing = false;
  };
  const timer = setInterval(() => void probe(), PROBE_INTERVAL_MS);
  void probe();
  return {
    get isHealthy() {
      return consecutiveFailures < FAILURES_UNTIL_DOWN;
    },
    get load() {
      return load;
    },
    get tokenIntervalMs() {
      return tokenIntervalMs;
    },
    recordTokenInterval(intervalMs) {
      tokenIntervalMs =
        tokenIntervalMs === 0
          ? intervalMs
          : tokenIntervalMs +
            TOKEN_INTERVAL_EWMA_WEIGHT * (intervalMs - tokenIntervalMs);
    },
    recordUnreachable: () => recordFailure('unreachable'),
    stop: () => clearInterval(timer),
  };
}
