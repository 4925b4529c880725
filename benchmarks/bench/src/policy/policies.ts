import {
  rankUpstreams,
  type RankUpstreamsOptions,
} from '@sardinestile/placement';
import {
  createScheduler,
  type Scheduler,
  type SchedulerOptions,
} from '@sardinestile/scheduler';
import {createFifoScheduler} from './fifo_scheduler.js';

/** How a policy schedules requests at engines and ranks the engines. */
export interface RoutingPolicy {
  createScheduler(options: SchedulerOptions): Scheduler;
  /** Creates a function that returns upstream ids, the preferred one first. */
  createRanker(): (options: RankUpstreamsOptions) => string[];
  /**
   * Time without an offer after which a request is sent to a second upstream;
   * Infinity for never.
   */
  hedgeDelayMs: number;
}

/** Name of a benchmarked policy. */
export type PolicyName = 'sardinestile' | 'fifoRoundRobin' | 'leastLoaded';

/** The router's own policy and the simpler baselines it is compared with. */
export const ROUTING_POLICIES: Readonly<Record<PolicyName, RoutingPolicy>> = {
  sardinestile: {
    createScheduler,
    createRanker: () => rankUpstreams,
    hedgeDelayMs: 100,
  },
  fifoRoundRobin: {
    createScheduler: createFifoScheduler,
    createRanker: createRoundRobinRanker,
    hedgeDelayMs: Infinity,
  },
  leastLoaded: {
    createScheduler: createFifoScheduler,
    createRanker: () => rankByReportedLoad,
    hedgeDelayMs: Infinity,
  },
};

function createRoundRobinRanker() {
  let nextIndex = 0;
  return ({views}: RankUpstreamsOptions) => {
    const usable = views.filter(view => view.isConnected && view.isHealthy);
    if (usable.length === 0) return [];
    const firstIndex = nextIndex++ % usable.length;
    return [...usable.slice(firstIndex), ...usable.slice(0, firstIndex)].map(
      view => view.id,
    );
  };
}

function rankByReportedLoad({views}: RankUpstreamsOptions): string[] {
  return views
    .filter(view => view.isConnected && view.isHealthy)
    .map(view => ({id: view.id, load: view.running + view.waiting}))
    .sort((a, b) => a.load - b.load)
    .map(upstream => upstream.id);
}
