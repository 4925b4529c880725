import type {ClassDump, ClassPolicy} from '@sardinestile/scheduler';

/** Length of the windows over which the share of a class is averaged. */
const WINDOW_MS = 10_000;

/** Shares of the engines' capacity that one class had while it waited. */
export interface ShareMetrics {
  requestClass: string;
  minShare: number;
  /** Windows in which the class had waiting requests in every sample. */
  waitingWindows: number;
  /** Waiting windows in which the class had less than its minimum share. */
  windowsBelowMinShare: number;
  lowestShare: number;
}

/** Samples how much of each engine's capacity the classes use. */
export interface ShareMonitor {
  sample(engineIndex: number, dump: readonly ClassDump[], atMs: number): void;
  metrics(): ShareMetrics[];
}

/** Samples of one class at one engine. */
interface ShareWindow {
  startedAtMs: number;
  samples: number;
  waitingSamples: number;
  runningTotal: number;
}

/** Creates a monitor without samples; `capacity` is that of each engine. */
export function createShareMonitor(
  policies: readonly ClassPolicy[],
  capacity: number,
): ShareMonitor {
  const windows = new Map<string, ShareWindow>();
  const metricsByClass = new Map<string, ShareMetrics>(
    policies.map(({name, minShare}) => [
      name,
      {
        requestClass: name,
        minShare,
        waitingWindows: 0,
        windowsBelowMinShare: 0,
        lowestShare: 1,
      },
    ]),
  );
  const closeWindow = (requestClass: string, window: ShareWindow) => {
    if (window.samples === 0 || window.waitingSamples < window.samples) return;
    const metrics = metricsByClass.get(requestClass)!;
    const share = window.runningTotal / window.samples / capacity;
    metrics.waitingWindows++;
    metrics.lowestShare = Math.min(metrics.lowestShare, share);
    if (share < metrics.minShare) metrics.windowsBelowMinShare++;
  };
  return {
    sample(engineIndex, dump, atMs) {
      for (const {requestClass, waiting, running} of dump) {
        const key = `${engineIndex}/${requestClass}`;
        let window = windows.get(key);
        if (!window || atMs - window.startedAtMs >= WINDOW_MS) {
          if (window) closeWindow(requestClass, window);
          window = {
            startedAtMs: atMs,
            samples: 0,
            waitingSamples: 0,
            runningTotal: 0,
          };
          windows.set(key, window);
        }
        window.samples++;
        window.waitingSamples += waiting > 0 ? 1 : 0;
        window.runningTotal += running;
      }
    },
    metrics: () => [...metricsByClass.values()],
  };
}
