import {nameMapOf, stringifyNameMaps} from '@sardinestile/types';
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
export const usageSumsSchema = nameMapOf(usageSumSchema);

/** Usage by name of the organisation. */
export type UsageSums = z.infer<typeof usageSumsSchema>;

/** Decodes the sums in a row; throws if the text does not hold any. */
export function decodeUsageSums(text: string): UsageSums {
  return usageSumsSchema.parse(JSON.parse(text));
}

/** Encodes sums as JSON. */
export function encodeUsageSums(sums: UsageSums): string {
  return stringifyNameMaps(sums);
}

/** Adds the usage of one organisation to sums, in place. */
export function addUsage(
  sums: UsageSums,
  organisation: string,
  usage: UsageSum,
): void {
  const sum = sums.get(organisation);
  sums.set(organisation, {
    requests: (sum?.requests ?? 0) + usage.requests,
    promptTokens: (sum?.promptTokens ?? 0) + usage.promptTokens,
    outputTokens: (sum?.outputTokens ?? 0) + usage.outputTokens,
  });
}

/** Adds the usage of all organisations in `other` to `sums`, in place. */
export function addAllUsage(sums: UsageSums, other: UsageSums): void {
  for (const [organisation, usage] of other) {
    addUsage(sums, organisation, usage);
  }
}
