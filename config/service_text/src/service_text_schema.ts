import {TIER_COUNT} from '@sardinestile/types';
import {z} from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9_.-]*$/, 'use lower-case letters, digits, - _ .');
const positiveMsSchema = z.number().positive();
const shareSchema = z.number().min(0).max(1);

const availabilityZoneSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
});

const zoneLimitsSchema = z.strictObject({
  availabilityZone: nameSchema,
  min: z.number().int().nonnegative(),
  max: z.number().int().nonnegative(),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['engine', 'plain']),
  models: z.array(z.string().min(1)).default([]),
  /** Requests that one upstream runs at the same time. */
  maxRunning: z.number().int().positive(),
  checksFencing: z.boolean().default(false),
  dependsOn: z.array(nameSchema).default([]),
  /** Number of upstreams in each availability zone. */
  upstreams: z.array(zoneLimitsSchema).default([]),
});

const targetsSchema = z.strictObject({
  /** Longest time from arrival to the first token. */
  firstTokenMs: positiveMsSchema.optional(),
  tokenIntervalMs: positiveMsSchema.optional(),
  /** Longest time from arrival to the complete response. */
  answerMs: positiveMsSchema.optional(),
});

const requestClassSchema = z.strictObject({
  name: nameSchema,
  service: nameSchema,
  tier: z
    .number()
    .int()
    .min(0)
    .max(TIER_COUNT - 1),
  /** Share of each upstream's capacity that the class is guaranteed, 0 to 1. */
  minShare: shareSchema.default(0),
  targets: targetsSchema,
  /** Whether engine requests that name no class belong to this one. */
  isDefault: z.boolean().default(false),
});

const organisationSchema = z.strictObject({
  name: nameSchema,
  weight: z.number().positive().default(1),
  /** Requests that may run at the same time over all entries; no limit if absent. */
  maxRunning: z.number().int().positive().optional(),
  /** Limit over all entries; no limit if absent. */
  requestsPerSecond: z.number().positive().optional(),
});

const routeSchema = z.strictObject({
  /** Prefix of the request paths; the longest matching prefix applies. */
  path: z.string().startsWith('/'),
  methods: z.array(z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  requestClass: nameSchema,
  /** Routes with `open` access require no API key. */
  access: z.enum(['keyed', 'open']).default('keyed'),
  /** Whether a request may be sent again after it may have run. */
  idempotent: z.boolean(),
});

/** Schema of the operators' service text. */
export const serviceTextSchema = z.strictObject({
  availabilityZones: z.array(availabilityZoneSchema).min(1),
  services: z.array(serviceSchema).min(1),
  requestClasses: z.array(requestClassSchema).min(1),
  organisations: z.array(organisationSchema).min(1),
  routes: z.array(routeSchema).default([]),
});

/** The parsed and validated service text. */
export type ServiceText = z.infer<typeof serviceTextSchema>;
/** A service: its kind, models and numbers of upstreams in each availability zone. */
export type Service = z.infer<typeof serviceSchema>;
/** A request class: its service, tier, minimum share and latency targets. */
export type RequestClass = z.infer<typeof requestClassSchema>;
/** An organisation, to which API keys are granted, with its weight and limits. */
export type Organisation = z.infer<typeof organisationSchema>;
/** An HTTP route to a plain service. */
export type Route = z.infer<typeof routeSchema>;
