import type {Server} from 'node:http';
import {getHeapStatistics} from 'node:v8';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {HeapBudget, HeapStep} from './heap_budget.js';
import type {ServerConnections} from './server_connections.js';

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Time without a step after which its end is logged, in milliseconds. */
const MIN_CALM_MS = 1_000;

/** Options for `startHeapGuard`. */
export interface HeapGuardOptions {
  server: Server;
  connections: ServerConnections;
  budget: HeapBudget;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Reads the heap that is in use, in bytes; replaced in tests. */
  readUsedBytes?: () => number;
}

/**
 * Keeps what the connections of a server hold within the heap budget: limits their number,
 * and closes those with the largest parts of headers while the budget is exceeded. The
 * requests on them have not run. Returns a function that stops it.
 */
export function startHeapGuard({
  server,
  connections,
  budget,
  logger,
  metrics,
  readUsedBytes = () => getHeapStatistics().used_heap_size,
}: HeapGuardOptions): () => void {
  let loggedStep: HeapStep = 'none';
  let lastStepAtMs = -Infinity;
  let refusedConnections = 0;
  server.on('drop', () => {
    refusedConnections++;
    metrics.increment('sardinestile_caller_connections_refused_total', {});
  });
  server.on('connection', socket =>
    socket.once('close', budget.openConnection()),
  );
  const limitConnections = (step: HeapStep) => {
    // Node.js takes 0 as no limit.
    const limit = step === 'refuseConnections' ? 1 : budget.maxConnections;
    if (Number.isFinite(limit)) server.maxConnections = limit;
  };
  const closePartialRequests = () => {
    const partial = connections.partialRequests();
    let bytes = partial.reduce((sum, request) => sum + request.bytes, 0);
    budget.setPartialBytes(bytes);
    partial.sort((a, b) => a.bytes - b.bytes);
    while (budget.step() !== 'none') {
      const largest = partial.pop();
      if (!largest) return;
      largest.destroy();
      bytes -= largest.bytes;
      budget.setPartialBytes(bytes);
    }
  };
  const check = () => {
    budget.recordUsedBytes(readUsedBytes());
    closePartialRequests();
    const step = budget.step();
    limitConnections(step);
    if (step !== 'none') lastStepAtMs = performance.now();
    else if (performance.now() - lastStepAtMs < MIN_CALM_MS) return;
    if (step === loggedStep && refusedConnections === 0) return;
    loggedStep = step;
    logger.warn('heap_step_changed', {
      step,
      heldBytes: Math.round(budget.heldBytes),
      limitBytes: Math.round(budget.limitBytes),
      refusedConnections,
    });
    refusedConnections = 0;
  };
  limitConnections('none');
  const timer = setInterval(check, CHECK_INTERVAL_MS).unref();
  return () => clearInterval(timer);
}
