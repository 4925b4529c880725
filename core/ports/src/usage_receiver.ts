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

/** Usage of all organisations in one window. */
export interface UsageWindowReport {
  windowId: string;
  organisations: readonly UsageReport[];
  /** Token of the reporter in charge. */
  fencingToken: number;
}

/** The platform's interface for usage reports; takes each window once. */
export interface UsageReceiver {
  /**
   * Sends the report of a window, in several calls where the platform asks for
   * them while the sender is in charge. False if it was not taken whole.
   */
  report(
    window: UsageWindowReport,
    isInCharge: () => boolean,
  ): Promise<boolean>;
}
