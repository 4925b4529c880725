/**
 * Longest time from the first event of a stream to its last resume, in milliseconds.
 * Callers wait for less.
 */
export const STREAM_LIFETIME_MS = 60_000;

/**
 * Longest time between the lists of two observations, in milliseconds. An upstream that
 * comes and goes within it is registered for longer.
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
   * Records all registered upstreams, those that are leaving included, as a list that
   * is complete up to `asOfMs`. After a gap the history begins anew; a list that is much
   * older than the one before shows a pause that the clock does not count.
   */
  observe(upstreams: readonly VersionedUpstream[], asOfMs: number): void;
  /**
   * Returns the version of all upstreams of a service that may have begun a stream
   * before `beforeMs` which can still be resumed; undefined if there were several or it
   * is not certain, as no list is known to be complete up to then.
   */
  onlyVersion(service: string, beforeMs: number): string | undefined;
}

/** Creates an empty history. Times are monotonic, in milliseconds. */
export function createVersionHistory(): VersionHistory {
  /** Time at which each version of a service was last seen; undefined is an unknown version. */
  const lastSeenMs = new Map<string, Map<string | undefined, number>>();
  let observedSinceMs = Infinity;
  let observedAtMs = -Infinity;
  return {
    observe(upstreams, asOfMs) {
      const gapMs = Math.abs(asOfMs - observedAtMs);
      if (gapMs <= MAX_OBSERVATION_GAP_MS) {
        observedAtMs = Math.max(observedAtMs, asOfMs);
      } else {
        observedSinceMs = asOfMs;
        observedAtMs = asOfMs;
      }
      for (const {service, softwareVersion} of upstreams) {
        const versions = lastSeenMs.get(service) ?? new Map();
        lastSeenMs.set(service, versions.set(softwareVersion, observedAtMs));
      }
      for (const [service, versions] of lastSeenMs) {
        for (const [version, atMs] of versions) {
          if (observedAtMs - atMs > STREAM_LIFETIME_MS) {
            versions.delete(version);
          }
        }
        if (versions.size === 0) lastSeenMs.delete(service);
      }
    },
    onlyVersion(service, beforeMs) {
      const isComplete =
        observedAtMs >= beforeMs &&
        beforeMs - observedSinceMs >= STREAM_LIFETIME_MS;
      if (!isComplete) return undefined;
      const versions = [...(lastSeenMs.get(service)?.keys() ?? [])];
      return versions.length === 1 ? versions[0] : undefined;
    },
  };
}
