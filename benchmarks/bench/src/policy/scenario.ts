import type {RequestClass} from '@sardinestile/service_text';
import type {LoadFactor} from './workload.js';

/** A fault of an upstream or an availability zone during a scenario. */
export interface ScenarioFault {
  kind: 'slowdown' | 'crash' | 'zoneLoss';
  startsAtMs: number;
  endsAtMs: number;
  /** Index of the affected upstream; of the availability zone for `zoneLoss`. */
  targetIndex: number;
  /** Factor on the duration of the upstream's steps; set for `slowdown`. */
  slowdownFactor?: number;
}

/** A load and the faults that occur under it. */
export interface Scenario {
  name: string;
  durationMs: number;
  /** Highest value that `loadFactor` returns. */
  maxLoadFactor: number;
  loadFactor: LoadFactor;
  faults: readonly ScenarioFault[];
  /** Age of an engine's last load report when the next one arrives. */
  reportAgeMs: number;
  /** Whether the upstreams have the capacity for the top tier's demand alone. */
  isTopTierWithinCapacity: boolean;
}

const DURATION_MS = 120_000;

/** Period of the bursts and faults. */
const DISTURBANCE_START_MS = 40_000;
const DISTURBANCE_END_MS = 80_000;

const NORMAL_REPORT_AGE_MS = 500;
const STALE_REPORT_AGE_MS = 5_000;

/** Load of the bursting class relative to the capacity. */
const BURST_UTILISATION = 4;

/** Total load during an overload, relative to the capacity. */
const OVERLOAD_UTILISATION = 2;

/** Load of the flooding organisation relative to its steady load. */
const FLOOD_LOAD_FACTOR = 20;

const STRAGGLER_SLOWDOWN_FACTOR = 3;

/** Properties of a deployment's load that its scenarios depend on. */
export interface LoadProfile {
  /** Steady load relative to the capacity. */
  utilisation: number;
  /** Load of each class relative to the capacity. */
  utilisationByClass: ReadonlyMap<string, number>;
  floodingOrganisation: string;
  topClass: string;
  middleClass: string;
}

/** Creates the scenarios of a deployment. */
export function createScenarios(context: LoadProfile): Scenario[] {
  const steady: Scenario = {
    name: 'steady',
    durationMs: DURATION_MS,
    maxLoadFactor: 1,
    loadFactor: () => 1,
    faults: [],
    reportAgeMs: NORMAL_REPORT_AGE_MS,
    isTopTierWithinCapacity: true,
  };
  const isInBurst = (atMs: number) =>
    atMs >= DISTURBANCE_START_MS && atMs < DISTURBANCE_END_MS;
  /** Returns the load factor at which one class alone has this utilisation. */
  const loadFactorFor = (className: string, targetUtilisation: number) =>
    targetUtilisation / context.utilisationByClass.get(className)!;
  const createBurst = (name: string, className: string): Scenario => {
    const maxLoadFactor = loadFactorFor(className, BURST_UTILISATION);
    const loadFactor = (requestClass: RequestClass, _: string, atMs: number) =>
      requestClass.name === className && isInBurst(atMs) ? maxLoadFactor : 1;
    const isTopTierWithinCapacity = className !== context.topClass;
    return {
      ...steady,
      name,
      maxLoadFactor,
      loadFactor,
      isTopTierWithinCapacity,
    };
  };
  const overloadFactor = OVERLOAD_UTILISATION / context.utilisation;
  const createFault = (
    name: string,
    overrides: Partial<ScenarioFault>,
  ): Scenario => ({
    ...steady,
    name,
    faults: [
      {
        kind: 'crash',
        startsAtMs: DISTURBANCE_START_MS,
        endsAtMs: DISTURBANCE_END_MS,
        targetIndex: 0,
        ...overrides,
      },
    ],
  });
  return [
    steady,
    createBurst('top_burst_4x', context.topClass),
    createBurst('middle_burst_4x', context.middleClass),
    {
      ...steady,
      name: 'all_2x',
      maxLoadFactor: overloadFactor,
      loadFactor: () => overloadFactor,
      isTopTierWithinCapacity:
        overloadFactor * context.utilisationByClass.get(context.topClass)! <= 1,
    },
    {
      ...steady,
      name: 'flood',
      maxLoadFactor: FLOOD_LOAD_FACTOR,
      loadFactor: (_class, organisation) =>
        organisation === context.floodingOrganisation ? FLOOD_LOAD_FACTOR : 1,
    },
    createFault('straggler', {
      kind: 'slowdown',
      slowdownFactor: STRAGGLER_SLOWDOWN_FACTOR,
    }),
    createFault('crash', {kind: 'crash'}),
    createFault('zone_lost', {kind: 'zoneLoss'}),
    {...steady, name: 'reports_5s_old', reportAgeMs: STALE_REPORT_AGE_MS},
  ];
}
