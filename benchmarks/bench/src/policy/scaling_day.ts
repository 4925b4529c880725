import {createAutoscaler} from '@sardinestile/autoscaler';
import {createSeededRandom, type RandomSource} from '@sardinestile/types';
import type {Deployment} from './deployment.js';

const DAY_MS = 24 * 3_600_000;

/** Interval at which demand is sampled and the autoscaler decides. */
const STEP_MS = 10_000;

/** Time from an order until a new upstream serves requests. */
const UPSTREAM_START_MS = 60_000;

/** Fraction of the capacity that demand uses when the upstreams match it. */
const TARGET_UTILISATION = 0.7;

/** Fraction of the capacity up to which short queries meet their targets. */
const MAX_UTILISATION = 0.9;

/** Time and width of the morning peak. */
const PEAK_HOUR = 9;
const PEAK_WIDTH_HOURS = 2.5;

/** Demand at night, relative to the peak. */
const NIGHT_DEMAND_FRACTION = 0.15;

/** Largest random deviation of the demand, relative to its value. */
const DEMAND_NOISE_FRACTION = 0.05;

/** Cost and service of a simulated day. */
export interface ScalingDayResult {
  /** Upstream hours, counting the larger of the ordered and the serving upstreams. */
  upstreamHours: number;
  /** Upstream hours of a router that knows the demand in advance. */
  clairvoyantUpstreamHours: number;
  /** Fraction of the demand that the upstreams in service could serve. */
  servedDemandFraction: number;
  /** Changes of the ordered number of upstreams. */
  orderChanges: number;
}

/** Simulates a day with a morning peak, scaled by the autoscaler. */
export function runScalingDay(
  deployment: Deployment,
  seed: number,
): ScalingDayResult {
  const service = deployment.serviceText.services.find(
    ({name}) => name === deployment.service,
  )!;
  const zones = service.upstreams;
  const {capacity} = deployment;
  const minUpstreams = sum(zones.map(zone => zone.min));
  const maxUpstreams = sum(zones.map(zone => zone.max));
  const autoscaler = createAutoscaler({
    zones,
    capacity,
    startupMs: UPSTREAM_START_MS,
  });
  const random = createSeededRandom(seed);
  const orders: Array<{atMs: number; count: number}> = [];
  const result = {
    upstreamHours: 0,
    clairvoyantUpstreamHours: 0,
    servedDemandFraction: 0,
    orderChanges: 0,
  };
  let totalDemand = 0;
  let servedDemand = 0;
  let orderedUpstreams = minUpstreams;

  for (let nowMs = 0; nowMs < DAY_MS; nowMs += STEP_MS) {
    const peakDemand = maxUpstreams * capacity * TARGET_UTILISATION;
    const demandPlaces = peakDemand * relativeDemand(nowMs, random);
    const servingUpstreams = countServingUpstreams(orders, minUpstreams, nowMs);
    const targets = autoscaler.observe(
      {
        demandPlaces,
        zones: zones.map(({availabilityZone}) => ({
          availabilityZone,
          servingUpstreams: 1,
          isLost: false,
        })),
      },
      nowMs,
    );
    const targetCount = sum(targets.map(target => target.count));
    if (targetCount !== orderedUpstreams) result.orderChanges++;
    orderedUpstreams = targetCount;
    orders.push({atMs: nowMs, count: targetCount});
    const neededUpstreams = Math.ceil(
      demandPlaces / (capacity * TARGET_UTILISATION),
    );
    result.upstreamHours +=
      (Math.max(orderedUpstreams, servingUpstreams) * STEP_MS) / 3_600_000;
    result.clairvoyantUpstreamHours +=
      (Math.max(minUpstreams, neededUpstreams) * STEP_MS) / 3_600_000;
    totalDemand += demandPlaces;
    const usableCapacity = servingUpstreams * capacity * MAX_UTILISATION;
    servedDemand += Math.min(demandPlaces, usableCapacity);
  }
  return {...result, servedDemandFraction: servedDemand / totalDemand};
}

/** Returns the demand at a time of the day, relative to its peak. */
function relativeDemand(nowMs: number, random: RandomSource): number {
  const hour = nowMs / 3_600_000;
  const distance = (hour - PEAK_HOUR) / PEAK_WIDTH_HOURS;
  const demand =
    NIGHT_DEMAND_FRACTION +
    (1 - NIGHT_DEMAND_FRACTION) * Math.exp(-(distance ** 2));
  return demand * (1 + DEMAND_NOISE_FRACTION * (2 * random.next() - 1));
}

/**
 * Returns the number of upstreams that serve: the lowest number ordered during
 * the last UPSTREAM_START_MS. Upstreams ordered since then are still starting.
 */
function countServingUpstreams(
  orders: ReadonlyArray<{atMs: number; count: number}>,
  minUpstreams: number,
  nowMs: number,
): number {
  const startSteps = UPSTREAM_START_MS / STEP_MS;
  const recent = orders
    .slice(-startSteps)
    .filter(order => nowMs - order.atMs <= UPSTREAM_START_MS);
  if (recent.length < startSteps) return minUpstreams;
  return Math.min(...recent.map(order => order.count));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
