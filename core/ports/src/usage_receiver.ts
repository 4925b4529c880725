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
  /** Fencing token of the reporter that holds the lease. */
  fencingToken: number;
}

/** Interface of the platform for usage reports. It accepts each window once. */
export interface UsageReceiver {
  /**
   * Reports a window, in several calls if the platform requires that.
   * `holdsLease` returns whether the reporter still holds the lease; the report
   * stops when it does not. Resolves with false unless the platform accepted
   * the complete report.
   */
  report(
    window: UsageWindowReport,
    holdsLease: () => boolean,
  ): Promise<boolean>;
}
