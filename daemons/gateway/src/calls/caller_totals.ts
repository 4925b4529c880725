import type {ConnectionEnd} from '@sardinestile/connections';

/** What became of the requests of callers since the process started. */
export interface CallerTotals {
  /** Connections that were accepted. */
  connections: number;
  /** Requests whose headers were read. */
  requests: number;
  /** Requests that were not served, as their connection had announced its end. */
  unanswerable: number;
  /** Requests without a whole response when their caller ended the connection. */
  abandoned: number;
  /** Requests without a whole response when this process ended the connection. */
  unanswered: number;
  /** The same by the reason of the end, as `reason:count`, by commas; absent if there are none. */
  unansweredBy?: string;
}

/** Counts what becomes of requests, in memory that does not grow with them. */
export interface CallerTotalsCounter {
  recordConnection(): void;
  recordRequest(): void;
  recordUnanswerable(): void;
  recordConnectionEnd(end: ConnectionEnd): void;
  totals(): CallerTotals;
}

/** Creates a counter that has seen nothing. */
export function createCallerTotals(): CallerTotalsCounter {
  const unansweredBy = new Map<ConnectionEnd['reason'], number>();
  const counts = {connections: 0, requests: 0, unanswerable: 0, abandoned: 0};
  return {
    recordConnection: () => void counts.connections++,
    recordRequest: () => void counts.requests++,
    recordUnanswerable: () => void counts.unanswerable++,
    recordConnectionEnd({reason, peerEnd, openRequests}) {
      if (openRequests.length === 0) return;
      if (peerEnd) counts.abandoned += openRequests.length;
      else {
        const before = unansweredBy.get(reason) ?? 0;
        unansweredBy.set(reason, before + openRequests.length);
      }
    },
    totals: () => ({
      ...counts,
      unanswered: [...unansweredBy.values()].reduce((sum, n) => sum + n, 0),
      unansweredBy:
        [...unansweredBy].map(([reason, n]) => `${reason}:${n}`).join(',') ||
        undefined,
    }),
  };
}
