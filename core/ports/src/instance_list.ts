import {z} from 'zod';

/** An entry or agent instance, as the platform lists it. */
export const instanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'agent']),
  /** `host:port` of the instance's gRPC server. */
  address: z.string(),
  availabilityZone: z.string(),
  /** Service of the agent's upstream; absent for an entry. */
  service: z.string().optional(),
  isLeaving: z.boolean(),
});

/** An entry or agent instance, as the platform lists it. */
export type Instance = z.infer<typeof instanceSchema>;

/** The platform's list of running and draining instances; it may be out of date. */
export interface InstanceList {
  list(): Promise<Instance[]>;
}
