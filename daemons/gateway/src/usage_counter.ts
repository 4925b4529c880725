/** Requests of each organisation that began in one window. */
export interface UsageWindow {
  windowNumber: number;
  requestsByOrganisation: Record<string, number>;
}

/** Counts requests that upstreams began, by window of true time. */
export interface UsageCounter {
  recordBegan(organisation: string, trueTimeMs: number): void;
  /** Windows that have counts, oldest first. */
  windows(): UsageWindow[];
  forget(windowNumber: number): void;
}

/** Makes a counter without counts. */
export function createUsageCounter(windowMs: number): UsageCounter {
  const windows = new Map<number, Record<string, number>>();
  return {
    recordBegan(organisation, trueTimeMs) {
      const windowNumber = Math.floor(trueTimeMs / windowMs);
      let counts = windows.get(windowNumber);
      if (!counts) windows.set(windowNumber, (counts = {}));
      counts[organisation] = (counts[organisation] ?? 0) + 1;
    },
    windows: () =>
      [...windows]
        .sort(([a], [b]) => a - b)
        .map(([windowNumber, requestsByOrganisation]) => ({
          windowNumber,
          requestsByOrganisation,
        })),
    forget(windowNumber) {
      windows.delete(windowNumber);
    },
  };
}
