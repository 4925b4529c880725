import {createAutoscaler, type DemandSample} from '@sardinestile/autoscaler';
import {runLease} from '@sardinestile/lease';
import type {Logger} from '@sardinestile/logger';
import type {TableService, UpstreamScaler} from '@sardinestile/ports';
import type {Service} from '@sardinestile/service_text';
import type {Clock} from '@sardinestile/types';
import {createLeaseOptions} from './lease_options.js';
import type {Duty} from './usage_duty.js';

/** Time between two scaling decisions. */
const DECISION_INTERVAL_MS = 10_000;

/** Expected time from an order until a new upstream serves requests. */
const UPSTREAM_START_MS = 60_000;

/** Options for startScalingDuty. */
export interface ScalingDutyOptions {
  instance: string;
  service: Service;
  table: TableService;
  upstreamScaler: UpstreamScaler;
  clock: Clock;
  logger: Logger;
  /**
   * Returns the service's current demand and upstreams, as this process sees
   * them.
   */
  sampleDemand: () => DemandSample;
}

/**
 * Starts the duty that orders upstreams of one service while this process holds
 * the service's scaling lease.
 */
export function startScalingDuty(options: ScalingDutyOptions): Duty {
  const {service, clock, logger, upstreamScaler} = options;
  const lease = runLease({
    ...createLeaseOptions(`scaling/${service.name}`, options.instance, logger),
    table: options.table,
    clock,
  });
  const autoscaler = createAutoscaler({
    zones: service.upstreams,
    capacity: service.maxRunning,
    startupMs: UPSTREAM_START_MS,
  });
  const decide = () => {
    const sample = options.sampleDemand();
    const targets = autoscaler.observe(sample, clock.monotonicMs());
    for (const {availabilityZone, count} of targets) {
      // The lease is checked in the same synchronous step that sends the order,
      // so that no order is sent after the lease was lost.
      const fencingToken = lease.fencingToken();
      if (fencingToken === undefined) return;
      const order = {service: service.name, availabilityZone, count};
      upstreamScaler.setCount({...order, fencingToken}).catch((error: Error) =>
        logger.warn('store_failed', {
          operation: 'order upstreams',
          reason: error.message,
        }),
      );
    }
  };
  const timer = setInterval(decide, DECISION_INTERVAL_MS);
  return {
    stop() {
      clearInterval(timer);
      lease.stop();
    },
  };
}
