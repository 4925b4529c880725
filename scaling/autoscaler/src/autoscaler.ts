/** Part of the upstreams' slots that the demand should use, 0 to 1. */
const TARGET_UTILISATION = 0.7;

/** Time for which the demand has to stay low before upstreams are stopped. */
const SCALE_DOWN_DELAY_MS = 300_000;

/** Number of samples from which the growth of the demand is computed. */
const TREND_SAMPLES = 6;

/** Smallest and largest number of upstreams of a service in one availability zone. */
export interface ZoneLimits {
  availabilityZone: string;
  min: number;
  max: number;
}

/** Options for createAutoscaler. */
export interface AutoscalerOptions {
  zones: readonly ZoneLimits[];
  /** Number of requests that one upstream runs at once. */
  capacity: number;
  /** Time from the start of an upstream until it serves, in milliseconds. */
  startupMs: number;
}

/** State of a service in one availability zone. */
export interface ZoneSample {
  availabilityZone: string;
  /** Number of upstreams that serve; 0 while the zone is lost. */
  servingUpstreams: number;
  isLost: boolean;
}

/** Demand and running upstreams of a service at one time. */
export interface DemandSample {
  /** Number of requests that run, wait, or were refused for lack of slots. */
  demandPlaces: number;
  zones: readonly ZoneSample[];
}

/** Number of upstreams that should run in one availability zone. */
export interface ZoneTarget {
  availabilityZone: string;
  count: number;
}

/** Decides how many upstreams of one service run in each availability zone. */
export interface Autoscaler {
  /** Takes a sample and returns the target count of each zone. */
  observe(sample: DemandSample, nowMs: number): ZoneTarget[];
}

interface TimedDemand {
  atMs: number;
  demandPlaces: number;
}

/**
 * Creates an autoscaler. It starts upstreams at once, for the demand that is
 * expected by the time they serve, and stops them only after the demand stayed
 * low for a while.
 */
export function createAutoscaler(options: AutoscalerOptions): Autoscaler {
  const demandPerUpstream = options.capacity * TARGET_UTILISATION;
  let samples: TimedDemand[] = [];
  let recentNeeds: Array<{atMs: number; count: number}> = [];

  /** Extrapolates the demand to the time at which an upstream started now would serve. */
  const extrapolateDemand = (now: TimedDemand) => {
    const [oldest] = samples;
    const elapsedMs = now.atMs - oldest.atMs;
    if (elapsedMs <= 0) return now.demandPlaces;
    const growth = (now.demandPlaces - oldest.demandPlaces) / elapsedMs;
    return now.demandPlaces + Math.max(0, growth) * options.startupMs;
  };
  /** Returns the highest need of the recent past, so that a short dip stops no upstream. */
  const highestRecentNeed = (count: number, nowMs: number) => {
    recentNeeds = recentNeeds.filter(
      need => nowMs - need.atMs < SCALE_DOWN_DELAY_MS,
    );
    recentNeeds.push({atMs: nowMs, count});
    return Math.max(...recentNeeds.map(need => need.count));
  };
  return {
    observe({demandPlaces, zones}, nowMs) {
      if (samples.length === 0) {
        // The previous autoscaler may have seen a higher demand, so the running
        // upstreams count as needed at first.
        const count = zones.reduce(
          (sum, {servingUpstreams}) => sum + servingUpstreams,
          0,
        );
        recentNeeds.push({atMs: nowMs, count});
      }
      const now = {atMs: nowMs, demandPlaces};
      samples = [...samples, now].slice(-TREND_SAMPLES);
      const need = Math.ceil(extrapolateDemand(now) / demandPerUpstream);
      const total = highestRecentNeed(need, nowMs);
      const lostZones = new Set(
        zones.filter(zone => zone.isLost).map(zone => zone.availabilityZone),
      );
      return distribute(total, options.zones, lostZones);
    },
  };
}

/** Distributes a count over the zones that are not lost, as evenly as their limits allow. */
function distribute(
  total: number,
  zones: readonly ZoneLimits[],
  lostZones: ReadonlySet<string>,
): ZoneTarget[] {
  const targets = zones.map(zone => ({
    availabilityZone: zone.availabilityZone,
    count: zone.min,
    max: lostZones.has(zone.availabilityZone) ? zone.min : zone.max,
    isLost: lostZones.has(zone.availabilityZone),
  }));
  const countServing = () =>
    targets.reduce((sum, t) => sum + (t.isLost ? 0 : t.count), 0);
  while (countServing() < total) {
    const growable = targets.filter(target => target.count < target.max);
    if (growable.length === 0) break;
    growable.sort((a, b) => a.count - b.count)[0].count++;
  }
  return targets.map(({availabilityZone, count}) => ({
    availabilityZone,
    count,
  }));
}
