import {z} from 'zod';

/** Schema of the usage of one organisation. */
export const usageSumSchema = z.object({
  requests: z.number().int(),
  promptTokens: z.number().int(),
  outputTokens: z.number().int(),
});

/** Requests and tokens of one organisation. */
export type UsageSum = z.infer<typeof usageSumSchema>;

/** Schema of usage by organisation. */
export const usageSumsSchema = z.record(z.string(), usageSumSchema);

/** Usage by name of the organisation. */
export type UsageSums = z.infer<typeof usageSumsSchema>;

/** Adds the usage of one organisation to sums, in place. */
export function addUsage(
  sums: UsageSums,
  organisation: string,
  usage: UsageSum,
): void {
  const sum = (sums[organisation] ??= {
    requests: 0,
    promptTokens: 0,
    outputTokens: 0,
  });
  sum.requests += usage.requests;
  sum.promptTokens += usage.promptTokens;
  sum.outputTokens += usage.outputTokens;
}

/** Adds the usage of all organisations in `other` to `sums`, in place. */
export function addAllUsage(sums: UsageSums, other: UsageSums): void {
  for (const [organisation, usage] of Object.entries(other)) {
    addUsage(sums, organisation, usage);
  }
}
