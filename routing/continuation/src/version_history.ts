/**
 * Longest time from the first event of a stream to its last resume, in milliseconds.
 * Callers wait for less.
 */
export const STREAM_LIFETIME_MS = 60_000;

/**
 * Longest time between two observations, in milliseconds. An upstream that comes and
 * goes within it is registered for longer.
 */
const MAX_OBSERVATION_GAP_MS = 3_000;

/** An upstream with its service and the version of its software. */
export interface VersionedUpstream {
  service: string;
  /** Absent if it is unknown. */
  softwareVersion?: string;
}

/** Software versions that served lately. */
export interface VersionHistory {
  /**
   * Records all registered upstreams, those that are leaving included. The list must
   * be up to date: after a gap the history begins anew.
   */
  observe(upstreams: readonly VersionedUpstream[], nowMs: number): void;
  /**
   * Returns the version of all upstreams of a service that served during the lifetime
   * of any stream; undefined if there were several or it is not certain.
   */
  onlyVersion(service: string, nowMs: number): string | undefined;
}

/** Creates an empty history. Times are monotonic, in milliseconds. */
export function createVersionHistory(): VersionHistory {
  /** Time at which each version of a service was last seen; undefined is an unknown version. */
  const lastSeenMs = new Map<string, Map<string | undefined, number>>();
  let observedSinceMs = Infinity;
  let observedAtMs = -Infinity;
  return {
    observe(upstreams, nowMs) {
      const hasGap = nowMs - observedAtMs > MAX_OBSERVATION_GAP_MS;
      if (hasGap) observedSinceMs = nowMs;
      observedAtMs = nowMs;
      for (const {service, softwareVersion} of upstreams) {
        const versions = lastSeenMs.get(service) ?? new Map();
        lastSeenMs.set(service, versions.set(softwareVersion, nowMs));
      }
      for (const [service, versions] of lastSeenMs) {
        for (const [version, atMs] of versions) {
          if (nowMs - atMs > STREAM_LIFETIME_MS) versions.delete(version);
        }
        if (versions.size === 0) lastSeenMs.delete(service);
      }
    },
    onlyVersion(service, nowMs) {
      const isCurrent = nowMs - observedAtMs <= MAX_OBSERVATION_GAP_MS;
      if (!isCurrent || nowMs - observedSinceMs < STREAM_LIFETIME_MS) {
        return undefined;
      }
      const versions = [...(lastSeenMs.get(service)?.keys() ?? [])];
      return versions.length === 1 ? versions[0] : undefined;
    },
  };
}
