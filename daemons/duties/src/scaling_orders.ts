import {
  createAutoscaler,
  type AutoscalerOptions,
  type DemandSample,
  type ZoneTarget,
} from '@sardinestile/autoscaler';

/** Time beyond an upstream's start after which an order that had no effect is repeated, in milliseconds. */
const REPEAT_SLACK_MS = 5_000;

/** Decides which orders for upstreams of one service have to be sent. */
export interface ScalingOrders {
  /** Takes what is seen now; returns the counts that have to be ordered. */
  decide(sample: DemandSample, nowMs: number): ZoneTarget[];
}

interface SentOrder {
  count: number;
  sentAtMs: number;
}

/**
 * Makes the orders of a process that has taken over the scaling of a service.
 * What runs already is not ordered, and an order is repeated only where it had
 * no effect in time: an answer may be lost, and the order may still be carried out.
 */
export function createScalingOrders(options: AutoscalerOptions): ScalingOrders {
  const autoscaler = createAutoscaler(options);
  const sent = new Map<string, SentOrder>();
  return {
    decide(sample, nowMs) {
      const serving = new Map(
        sample.zones.map(zone => [zone.availabilityZone, zone.serving]),
      );
      return autoscaler.observe(sample, nowMs).filter(target => {
        const {availabilityZone, count} = target;
        const order = sent.get(availabilityZone);
        const inForce = order?.count ?? serving.get(availabilityZone);
        const isDone = serving.get(availabilityZone) === count;
        const isOverdue =
          order !== undefined &&
          nowMs - order.sentAtMs >= options.startMs + REPEAT_SLACK_MS;
        if (inForce === count && (isDone || !isOverdue)) return false;
        sent.set(availabilityZone, {count, sentAtMs: nowMs});
        return true;
      });
    },
  };
}
