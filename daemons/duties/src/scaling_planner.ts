import {
  createAutoscaler,
  type AutoscalerOptions,
  type DemandSample,
  type ZoneTarget,
} from '@sardinestile/autoscaler';

/**
 * Time added to the expected start time of an upstream before an order without
 * effect is repeated.
 */
const REPEAT_MARGIN_MS = 5_000;

/** Decides which scaling orders to send for one service. */
export interface ScalingPlanner {
  /**
   * Takes a sample of the demand; returns the zones and counts to order now.
   */
  planOrders(sample: DemandSample, nowMs: number): ZoneTarget[];
}

interface SentOrder {
  count: number;
  sentAtMs: number;
}

/**
 * Creates the planner of a process that has taken over the scaling of a
 * service. Counts that are already running are not ordered. As the response to an
 * order may be lost although the order is carried out, an order is repeated only
 * if it had no effect in time.
 */
export function createScalingPlanner(
  options: AutoscalerOptions,
): ScalingPlanner {
  const autoscaler = createAutoscaler(options);
  const sentOrders = new Map<string, SentOrder>();
  return {
    planOrders(sample, nowMs) {
      const serving = new Map(
        sample.zones.map(zone => [
          zone.availabilityZone,
          zone.servingUpstreams,
        ]),
      );
      return autoscaler.observe(sample, nowMs).filter(target => {
        const {availabilityZone, count} = target;
        const order = sentOrders.get(availabilityZone);
        const currentCount = order?.count ?? serving.get(availabilityZone);
        const isServing = serving.get(availabilityZone) === count;
        const isOverdue =
          order !== undefined &&
          nowMs - order.sentAtMs >= options.startupMs + REPEAT_MARGIN_MS;
        if (currentCount === count && (isServing || !isOverdue)) return false;
        sentOrders.set(availabilityZone, {count, sentAtMs: nowMs});
        return true;
      });
    },
  };
}
