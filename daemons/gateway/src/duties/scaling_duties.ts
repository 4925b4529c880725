import {createScalingPlanner, type ScalingPlanner} from '@sardinestile/duties';
import type {UpstreamFleet, UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {UpstreamScaler} from '@sardinestile/ports';
import {SardinestileError} from '@sardinestile/errors';
import type {RoutedService} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';

/** Interval of scaling decisions, in milliseconds; demand can grow within seconds. */
const DECISION_INTERVAL_MS = 2_000;

/**
 * Prefill backlog that counts as full use of an engine, in milliseconds;
 * callers expect first events sooner.
 */
const FULL_PREFILL_MS = 500;

/** Options for `startScalingDuties`. */
export interface ScalingDutiesOptions {
  upstreamScaler: UpstreamScaler;
  /** Services of the current configuration. */
  services: () => readonly RoutedService[];
  fleet: UpstreamFleet;
  /**
   * Gateways in the fleet per gateway of this group. Requests are only known
   * from the own group, unless all groups share the upstreams.
   */
  fleetToGroupRatio: () => number;
  /** Fencing token of this gateway; undefined unless it holds the lease. */
  fencingToken: () => number | undefined;
  clock: Clock;
  logger: Logger;
}

interface ServiceScaling {
  /** Scaling limits, zones and capacity that `orders` was created for, as JSON. */
  definition: string;
  fencingToken: number;
  orders: ScalingPlanner;
}

/** Sets the number of upstreams of each scalable service while this gateway holds the lease. */
export function startScalingDuties(options: ScalingDutiesOptions): {
  stop(): void;
} {
  const {upstreamScaler, fleet, clock, logger} = options;
  const scalingByService = new Map<string, ServiceScaling>();
  /** Highest token that was rejected, since a newer lease holder exists. */
  let maxFencedToken = -Infinity;

  const ordersOf = (
    service: RoutedService,
    zones: readonly string[],
    fencingToken: number,
  ): ScalingPlanner => {
    const {scaling, name} = service;
    const {minPerZone: min, maxPerZone: max, bootMs: startupMs} = scaling!;
    const capacity = slotsPerUpstream(
      service,
      fleet.membership.usableUpstreamsOf(name),
    );
    const definition = JSON.stringify({scaling, zones, capacity});
    const current = scalingByService.get(name);
    // With a new lease the running upstreams are the start, since another
    // holder may have changed their number meanwhile.
    if (
      current?.definition === definition &&
      current.fencingToken === fencingToken
    ) {
      return current.orders;
    }
    const orders = createScalingPlanner({
      zones: zones.map(availabilityZone => ({availabilityZone, min, max})),
      capacity,
      startupMs,
    });
    scalingByService.set(name, {definition, fencingToken, orders});
    return orders;
  };
  const scale = (service: RoutedService, fencingToken: number) => {
    const {name} = service;
    const records = fleet.membership.all().filter(r => r.service === name);
    const zones = [...new Set(records.map(r => r.availabilityZone))].sort();
    if (zones.length === 0) return;
    const ratio = fleet.isSharedByGroups(name)
      ? 1
      : options.fleetToGroupRatio();
    const demandPlaces =
      ratio * demandInSlots(fleet, service, clock.monotonicMs());
    const sample = {
      demandPlaces,
      zones: zones.map(availabilityZone => ({
        availabilityZone,
        servingUpstreams: records.filter(
          r => r.availabilityZone === availabilityZone && !r.isLeaving,
        ).length,
        isLost: false,
      })),
    };
    const orders = ordersOf(service, zones, fencingToken);
    for (const target of orders.planOrders(sample, clock.monotonicMs())) {
      const order = {service: name, ...target, fencingToken};
      logger.info('upstreams_ordered', {
        ...order,
        demandPlaces: Math.round(demandPlaces),
      });
      upstreamScaler.setCount(order).catch((error: Error) => {
        const isFenced =
          error instanceof SardinestileError && error.code === 'FENCED';
        if (isFenced) maxFencedToken = Math.max(maxFencedToken, fencingToken);
        const operation = `order upstreams of ${name}`;
        logger.warn('duty_call_failed', {operation, reason: error.message});
      });
    }
  };
  const timer = setInterval(() => {
    // Nothing is awaited between this check of the token and sending the orders.
    const fencingToken = options.fencingToken();
    if (fencingToken === undefined || fencingToken <= maxFencedToken) return;
    for (const service of options.services()) {
      if (service.scaling) scale(service, fencingToken);
    }
  }, DECISION_INTERVAL_MS);
  return {stop: () => clearInterval(timer)};
}

/**
 * Slots in use at a service's upstreams; at each, the running requests or the
 * prefill backlog, whichever is more.
 */
function demandInSlots(
  fleet: UpstreamFleet,
  service: RoutedService,
  nowMs: number,
): number {
  const records = fleet.membership.usableUpstreamsOf(service.name);
  const slotCount = slotsPerUpstream(service, records);
  let demand = 0;
  for (const record of records) {
    const {running, prefillQueue} = fleet.upstreamStateOf(record);
    const prefillShare = prefillQueue.totalMs(nowMs) / FULL_PREFILL_MS;
    demand += Math.max(running, prefillShare * slotCount);
  }
  return demand;
}

/** Number of requests that one upstream of a service runs concurrently. */
function slotsPerUpstream(
  service: RoutedService,
  records: readonly UpstreamRecord[],
): number {
  return service.engine?.slots ?? records[0]?.places ?? 1;
}
