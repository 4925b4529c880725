import {z} from 'zod';

/** One instance on the platform's lagging list. */
export const instanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'agent']),
  /** `host:port` of the inner protocol. */
  address: z.string(),
  availabilityZone: z.string(),
  /** Service of the upstream beside an agent. */
  service: z.string().optional(),
  isLeaving: z.boolean(),
});

/** One instance on the platform's lagging list. */
export type Instance = z.infer<typeof instanceSchema>;

/** The platform's list of live and leaving instances; it lags. */
export interface InstanceList {
  list(): Promise<Instance[]>;
}
