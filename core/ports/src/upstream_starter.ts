import {z} from 'zod';

/** Order to start or stop upstreams, under a fencing token. */
export const starterOrderSchema = z.object({
  service: z.string(),
  availabilityZone: z.string(),
  /** Number of upstreams that shall run. */
  count: z.number().int().nonnegative(),
  fencingToken: z.number().int(),
});

/** Order to start or stop upstreams, under a fencing token. */
export type StarterOrder = z.infer<typeof starterOrderSchema>;

/** The platform's interface that starts and stops upstreams by zone. */
export interface UpstreamStarter {
  setCount(order: StarterOrder): Promise<void>;
}
