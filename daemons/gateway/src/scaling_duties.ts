import {createScalingOrders, type ScalingOrders} from '@sardinestile/duties';
import type {Fleet, UpstreamRecord} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {UpstreamStarter} from '@sardinestile/ports';
import {SardinestileError} from '@sardinestile/errors';
import type {RoutedService} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';

/** Time between two decisions, in milliseconds; demand grows within seconds. */
const DECISION_INTERVAL_MS = 2_000;

/** Prompts that wait this long take an engine's whole capacity, in milliseconds; callers want first events sooner. */
const FULL_PREFILL_MS = 500;

/** What ordering upstreams needs. */
export interface ScalingDutiesOptions {
  starter: UpstreamStarter;
  /** Services of the configuration in force. */
  services: () => readonly RoutedService[];
  fleet: Fleet;
  /** Gateways in the fleet for each one whose requests this gateway hears of. */
  unheardFactor: () => number;
  /** This gateway's token; undefined unless it holds the duty. */
  fencingToken: () => number | undefined;
  clock: Clock;
  logger: Logger;
}

interface FollowedService {
  /** Limits and zones that the orders were made for. */
  definition: string;
  fencingToken: number;
  orders: ScalingOrders;
}

/** Orders upstreams of every service that the platform scales, while this gateway holds the duty. */
export function startScalingDuties(options: ScalingDutiesOptions): {
  stop(): void;
} {
  const {starter, fleet, clock, logger} = options;
  const followed = new Map<string, FollowedService>();
  /** Tokens that another holder has surpassed. */
  let fencedToken = -Infinity;

  const ordersOf = (
    service: RoutedService,
    zones: readonly string[],
    fencingToken: number,
  ): ScalingOrders => {
    const {scaling, name} = service;
    const {minPerZone: min, maxPerZone: max, bootMs: startMs} = scaling!;
    const capacity = placesOf(service, fleet.membership.usableOf(name));
    const definition = JSON.stringify({scaling, zones, capacity});
    const known = followed.get(name);
    // A new term begins with what runs; another holder may have ordered meanwhile.
    if (
      known?.definition === definition &&
      known.fencingToken === fencingToken
    ) {
      return known.orders;
    }
    const orders = createScalingOrders({
      zones: zones.map(availabilityZone => ({availabilityZone, min, max})),
      capacity,
      startMs,
    });
    followed.set(name, {definition, fencingToken, orders});
    return orders;
  };
  const scale = (service: RoutedService, fencingToken: number) => {
    const {name} = service;
    const records = fleet.membership.all().filter(r => r.service === name);
    const zones = [...new Set(records.map(r => r.availabilityZone))].sort();
    if (zones.length === 0) return;
    const demandPlaces =
      options.unheardFactor() * demandOf(fleet, service, clock.monotonicMs());
    const sample = {
      demandPlaces,
      zones: zones.map(availabilityZone => ({
        availabilityZone,
        serving: records.filter(
          r => r.availabilityZone === availabilityZone && !r.isLeaving,
        ).length,
        isLost: false,
      })),
    };
    const orders = ordersOf(service, zones, fencingToken);
    for (const target of orders.decide(sample, clock.monotonicMs())) {
      const order = {service: name, ...target, fencingToken};
      logger.info('upstreams_ordered', {
        ...order,
        demandPlaces: Math.round(demandPlaces),
      });
      starter.setCount(order).catch((error: Error) => {
        const isFenced =
          error instanceof SardinestileError && error.code === 'FENCED';
        if (isFenced) fencedToken = Math.max(fencedToken, fencingToken);
        const operation = `order upstreams of ${name}`;
        logger.warn('duty_call_failed', {operation, reason: error.message});
      });
    }
  };
  const timer = setInterval(() => {
    // No order waits for anything, so that the token is checked in the step that sends.
    const fencingToken = options.fencingToken();
    if (fencingToken === undefined || fencingToken <= fencedToken) return;
    for (const service of options.services()) {
      if (service.scaling) scale(service, fencingToken);
    }
  }, DECISION_INTERVAL_MS);
  return {stop: () => clearInterval(timer)};
}

/** Places of a service's upstreams that its requests take, by their number or by the prompts that wait. */
function demandOf(fleet: Fleet, service: RoutedService, nowMs: number): number {
  const records = fleet.membership.usableOf(service.name);
  const places = placesOf(service, records);
  let demand = 0;
  for (const record of records) {
    const {running, prefill} = fleet.stateOf(record);
    const prefillShare = prefill.totalMs(nowMs) / FULL_PREFILL_MS;
    demand += Math.max(running, prefillShare * places);
  }
  return demand;
}

/** Requests that one upstream of a service runs at once. */
function placesOf(
  service: RoutedService,
  records: readonly UpstreamRecord[],
): number {
  return service.engine?.slots ?? records[0]?.places ?? 1;
}
