import type {Deployment} from './deployment.js';
import {createEventQueue} from './event_queue.js';
import {computeFluidBound} from './fluid_bound.js';
import {ROUTING_POLICIES, type PolicyName} from './policies.js';
import {
  createRequestRecorder,
  computeWorstServedRatio,
  type ClassMetrics,
  type RequestRecorder,
} from './policy_metrics.js';
import {
  createPriorityMonitor,
  type PriorityViolations,
} from './priority_monitor.js';
import type {Scenario, ScenarioFault} from './scenario.js';
import {createShareMonitor, type ShareMetrics} from './share_monitor.js';
import {createVirtualEngine, type VirtualEngine} from './virtual_engine.js';
import {
  createVirtualEntry,
  SESSION_TIMEOUT_MS,
  toUpstreamView,
  type VirtualEntry,
} from './virtual_entry.js';
import {generateWorkload, type LoadRequest} from './workload.js';

/** Interval of the engines' load reports. */
const REPORT_INTERVAL_MS = 500;

/** Interval at which the shares of the classes are sampled. */
const SHARE_SAMPLE_INTERVAL_MS = 100;

/** Requests that arrive before this time are left out of the results. */
const WARMUP_MS = 10_000;

/** Time after the end of the load in which open requests can finish. */
const DRAIN_MS = 130_000;

const ENTRY_COUNT = 3;

/** Results of one run. */
export interface ScenarioResult {
  scenario: Scenario;
  policy: PolicyName;
  seed: number;
  classes: ClassMetrics[];
  violations: PriorityViolations;
  classShares: ShareMetrics[];
  /**
   * Service of the worst-served organisation relative to its fair share, by
   * class.
   */
  worstServedRatioByClass: Map<string, number>;
  /** Goodput relative to that of a clairvoyant router. */
  goodputRatio: number;
  /** Fraction of the output tokens in responses that missed their targets. */
  wastedTokenFraction: number;
  /**
   * Service of the worst-served organisation over all classes, relative to its
   * fair share.
   */
  overallWorstServedRatio: number;
}

/** Options for runScenario. */
export interface RunScenarioOptions {
  deployment: Deployment;
  scenario: Scenario;
  policy: PolicyName;
  seed: number;
}

/** Simulates one scenario in virtual time and returns its results. */
export function runScenario(options: RunScenarioOptions): ScenarioResult {
  const {deployment, scenario, seed} = options;
  const {serviceText} = deployment;
  const policy = ROUTING_POLICIES[options.policy];
  const eventQueue = createEventQueue();
  const priorityMonitor = createPriorityMonitor();
  const classes = serviceText.requestClasses.filter(
    requestClass => requestClass.service === deployment.service,
  );
  const weights = new Map(
    serviceText.organisations.map(organisation => [
      organisation.name,
      organisation.weight,
    ]),
  );
  const weightOf = (organisation: string) => weights.get(organisation) ?? 1;
  const classPolicies = classes.map(({name, tier, minShare, targets}) => ({
    name,
    tier,
    minShare,
    firstTokenMs: targets.firstTokenMs,
    answerMs: targets.answerMs,
  }));
  const schedulerOptions = {
    classes: classPolicies,
    capacity: deployment.capacity,
    overcommitSlots: deployment.capacity,
    weightOf,
  };
  const zoneNames = serviceText.availabilityZones.map(zone => zone.name);
  const schedulers = Array.from({length: deployment.upstreamCount}, () =>
    policy.createScheduler(schedulerOptions),
  );
  const engines = schedulers.map((scheduler, index) =>
    createVirtualEngine({
      id: `engine-${index}`,
      availabilityZone: zoneNames[index % zoneNames.length],
      capacity: deployment.capacity,
      model: deployment.engine,
      scheduler,
      eventQueue,
      priorityMonitor,
    }),
  );
  const recorder = createRequestRecorder(
    classes,
    WARMUP_MS,
    scenario.durationMs,
  );
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
    createVirtualEntry({
      id: `entry-${index}`,
      availabilityZone: zoneNames[index % zoneNames.length],
      engines,
      policy,
      eventQueue,
      recorder,
      seed: seed * 31 + index,
    }),
  );
  const shareMonitor = createShareMonitor(classPolicies, deployment.capacity);
  const endMs = scenario.durationMs + DRAIN_MS;
  const requests = generateWorkload({
    serviceText,
    classLoads: deployment.classLoads,
    durationMs: scenario.durationMs,
    seed,
    maxLoadFactor: scenario.maxLoadFactor,
    loadFactor: scenario.loadFactor,
  });
  requests.forEach((request, index) => {
    const entry = entries[index % entries.length];
    eventQueue.schedule(request.arrivesAtMs, () => entry.serve(request));
  });
  forEachInterval(REPORT_INTERVAL_MS, endMs, atMs =>
    eventQueue.schedule(atMs, () => {
      const views = engines.map(toUpstreamView);
      // With this delay a report is reportAgeMs old when the next one replaces it.
      eventQueue.schedule(
        atMs + scenario.reportAgeMs - REPORT_INTERVAL_MS,
        () =>
          engines.forEach((engine, index) =>
            entries.forEach(entry =>
              entry.receiveReport(engine, {
                ...views[index],
                isConnected: engine.isUp,
                isHealthy: engine.isUp,
              }),
            ),
          ),
      );
    }),
  );
  forEachInterval(SHARE_SAMPLE_INTERVAL_MS, scenario.durationMs, atMs =>
    eventQueue.schedule(atMs, () =>
      schedulers.forEach((scheduler, index) =>
        shareMonitor.sample(index, scheduler.dump(), atMs),
      ),
    ),
  );
  scenario.faults.forEach(fault =>
    scheduleFault(fault, engines, entries, zoneNames, eventQueue),
  );
  eventQueue.runUntil(endMs);
  return {
    scenario,
    policy: options.policy,
    seed,
    classes: recorder.classMetrics(endMs),
    violations: priorityMonitor.violations,
    classShares: shareMonitor.metrics(),
    worstServedRatioByClass: new Map(
      classes.map(({name}) => [
        name,
        computeWorstServedRatio(recorder.organisationMetrics(name), weightOf),
      ]),
    ),
    ...computeTotals(recorder, options, requests, endMs, weightOf),
  };
}

function computeTotals(
  recorder: RequestRecorder,
  {deployment, scenario}: RunScenarioOptions,
  requests: readonly LoadRequest[],
  endMs: number,
  weightOf: (organisation: string) => number,
) {
  const classes = recorder.classMetrics(endMs);
  const goodTokens = sum(classes.map(metrics => metrics.goodTokens));
  const wastedTokens = sum(classes.map(metrics => metrics.wastedTokens));
  const bound = computeFluidBound(deployment, scenario, requests, WARMUP_MS);
  return {
    goodputRatio: recorder.measuredGoodTokens() / sum([...bound.values()]),
    wastedTokenFraction: wastedTokens / (goodTokens + wastedTokens),
    overallWorstServedRatio: computeWorstServedRatio(
      recorder.organisationMetrics(),
      weightOf,
    ),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function forEachInterval(
  intervalMs: number,
  endMs: number,
  run: (atMs: number) => void,
): void {
  for (let atMs = 0; atMs < endMs; atMs += intervalMs) run(atMs);
}

function scheduleFault(
  fault: ScenarioFault,
  engines: readonly VirtualEngine[],
  entries: readonly VirtualEntry[],
  zoneNames: readonly string[],
  eventQueue: ReturnType<typeof createEventQueue>,
): void {
  const affectedEngines =
    fault.kind === 'zoneLoss'
      ? engines.filter(
          engine => engine.availabilityZone === zoneNames[fault.targetIndex],
        )
      : [engines[fault.targetIndex]];
  if (fault.kind === 'slowdown') {
    eventQueue.schedule(fault.startsAtMs, () =>
      affectedEngines.forEach(engine =>
        engine.setSlowdown(fault.slowdownFactor!),
      ),
    );
    eventQueue.schedule(fault.endsAtMs, () =>
      affectedEngines.forEach(engine => engine.setSlowdown(1)),
    );
    return;
  }
  eventQueue.schedule(fault.startsAtMs, () =>
    affectedEngines.forEach(engine => engine.crash()),
  );
  eventQueue.schedule(fault.startsAtMs + SESSION_TIMEOUT_MS, () =>
    affectedEngines.forEach(engine =>
      entries.forEach(entry => entry.handleSessionLoss(engine.id)),
    ),
  );
  eventQueue.schedule(fault.endsAtMs, () =>
    affectedEngines.forEach(engine => engine.restart()),
  );
}
