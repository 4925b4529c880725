/** Share of the running upstreams' places that demand should use. */
const TARGET_UTILISATION = 0.7;

/** Time for which demand has to stay low before upstreams are stopped. */
const STABLE_MS = 300_000;

/** Number of samples of which the growth of demand is measured. */
const TREND_SAMPLES = 6;

/** Limits and start time of a service in one availability zone. */
export interface ZoneLimits {
  availabilityZone: string;
  min: number;
  max: number;
}

/** What an autoscaler is made of. */
export interface AutoscalerOptions {
  zones: readonly ZoneLimits[];
  /** Requests that one upstream runs at once. */
  capacity: number;
  /** Time from an order until a new upstream serves, in milliseconds. */
  startMs: number;
}

/** What is seen of one availability zone. */
export interface ZoneSample {
  availabilityZone: string;
  /** Upstreams that serve; 0 while the zone is lost. */
  serving: number;
  isLost: boolean;
}

/** What is seen of a service at a time. */
export interface DemandSample {
  /** Requests that run or wait, and those that were refused for lack of places. */
  demandPlaces: number;
  zones: readonly ZoneSample[];
}

/** Number of upstreams that shall run in one availability zone. */
export interface ZoneTarget {
  availabilityZone: string;
  count: number;
}

/** Decides how many upstreams of one service run in each zone. */
export interface Autoscaler {
  /** Takes a sample and returns the wanted counts. */
  observe(sample: DemandSample, nowMs: number): ZoneTarget[];
}

interface TimedDemand {
  atMs: number;
  demandPlaces: number;
}

/**
 * Makes an autoscaler. It starts upstreams at once for the demand that is
 * expected when they will serve, and stops them when demand stayed low.
 */
export function createAutoscaler(options: AutoscalerOptions): Autoscaler {
  const perUpstream = options.capacity * TARGET_UTILISATION;
  let samples: TimedDemand[] = [];
  let needs: Array<{atMs: number; count: number}> = [];

  /** Demand that is expected once an upstream that is ordered now serves. */
  const expectDemand = (now: TimedDemand) => {
    const [oldest] = samples;
    const elapsedMs = now.atMs - oldest.atMs;
    if (elapsedMs <= 0) return now.demandPlaces;
    const growth = (now.demandPlaces - oldest.demandPlaces) / elapsedMs;
    return now.demandPlaces + Math.max(0, growth) * options.startMs;
  };
  /** The highest need of the recent past, so that a dip stops nothing. */
  const smoothNeed = (count: number, nowMs: number) => {
    needs = needs.filter(need => nowMs - need.atMs < STABLE_MS);
    needs.push({atMs: nowMs, count});
    return Math.max(...needs.map(need => need.count));
  };
  return {
    observe({demandPlaces, zones}, nowMs) {
      if (samples.length === 0) {
        // Whoever decided before had a reason for what runs now.
        const count = zones.reduce((sum, {serving}) => sum + serving, 0);
        needs.push({atMs: nowMs, count});
      }
      const now = {atMs: nowMs, demandPlaces};
      samples = [...samples, now].slice(-TREND_SAMPLES);
      const need = Math.ceil(expectDemand(now) / perUpstream);
      const total = smoothNeed(need, nowMs);
      const lost = new Set(
        zones.filter(zone => zone.isLost).map(zone => zone.availabilityZone),
      );
      return divide(total, options.zones, lost);
    },
  };
}

/** Divides a count over the zones that are not lost, as evenly as their limits allow. */
function divide(
  total: number,
  zones: readonly ZoneLimits[],
  lost: ReadonlySet<string>,
): ZoneTarget[] {
  const targets = zones.map(zone => ({
    availabilityZone: zone.availabilityZone,
    count: zone.min,
    max: lost.has(zone.availabilityZone) ? zone.min : zone.max,
    isLost: lost.has(zone.availabilityZone),
  }));
  const servingSum = () =>
    targets.reduce((sum, t) => sum + (t.isLost ? 0 : t.count), 0);
  while (servingSum() < total) {
    const open = targets.filter(target => target.count < target.max);
    if (open.length === 0) break;
    open.sort((a, b) => a.count - b.count)[0].count++;
  }
  return targets.map(({availabilityZone, count}) => ({
    availabilityZone,
    count,
  }));
}
