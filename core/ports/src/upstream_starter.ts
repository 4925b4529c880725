import {z} from 'zod';

/**
 * Order to run a number of upstreams of a service in one zone, with the
 * sender's fencing token.
 */
export const starterOrderSchema = z.object({
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
export type StarterOrder = z.infer<typeof starterOrderSchema>;

/**
 * Interface of the platform that starts and stops upstreams in each
 * availability zone.
 */
export interface UpstreamStarter {
  setCount(order: StarterOrder): Promise<void>;
}
