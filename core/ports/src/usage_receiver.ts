import {z} from 'zod';

/** Usage of one organisation in one window. */
export const usageReportSchema = z.object({
  windowId: z.string(),
  organisation: z.string(),
  requests: z.number().int(),
  promptTokens: z.number().int(),
  outputTokens: z.number().int(),
});

/** Usage of one organisation in one window. */
export type UsageReport = z.infer<typeof usageReportSchema>;

/** The platform's interface for usage reports; takes each window once. */
export interface UsageReceiver {
  report(report: UsageReport): Promise<void>;
}
