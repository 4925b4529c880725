import {z} from 'zod';

/**
 * Order to run a number of upstreams of a service in one zone, with the
 * sender's fencing token.
 */
export const upstreamCountOrderSchema = z.object({
  service: z.string(),
  availabilityZone: z.string(),
  /** Desired number of running upstreams. */
  count: z.number().int().nonnegative(),
  fencingToken: z.number().int(),
});

/**
 * Order to run a number of upstreams of a service in one zone, with the
 * sender's fencing token.
 */
export type UpstreamCountOrder = z.infer<typeof upstreamCountOrderSchema>;

/**
 * Interface of the platform that starts and stops upstreams in each
 * availability zone.
 */
export interface UpstreamScaler {
  setCount(order: UpstreamCountOrder): Promise<void>;
}
