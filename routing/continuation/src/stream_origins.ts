import {LRUCache} from 'lru-cache';
import {STREAM_LIFETIME_MS} from './version_history.js';

/** Streams that are remembered; the latest ones. */
const MAX_STREAMS = 20_000;

/** Software versions that began streams, as this gateway saw or was told. */
export interface StreamOrigins {
  /**
   * Records the version of the upstream that wrote the first event of a request's
   * stream. A later record for the same request changes nothing, and an unknown
   * version is not recorded.
   */
  record(
    requestId: string,
    softwareVersion: string | undefined,
    nowMs: number,
  ): void;
  /** Returns the version that began the stream of a request; undefined if it is unknown. */
  versionOf(requestId: string, nowMs: number): string | undefined;
}

interface Origin {
  softwareVersion: string;
  beganAtMs: number;
}

/** Creates an empty memory. Times are monotonic, in milliseconds. */
export function createStreamOrigins(): StreamOrigins {
  const origins = new LRUCache<string, Origin>({max: MAX_STREAMS});
  return {
    record(requestId, softwareVersion, nowMs) {
      if (softwareVersion === undefined || origins.has(requestId)) return;
      origins.set(requestId, {softwareVersion, beganAtMs: nowMs});
    },
    versionOf(requestId, nowMs) {
      const origin = origins.get(requestId);
      if (!origin || nowMs - origin.beganAtMs > STREAM_LIFETIME_MS) {
        return undefined;
      }
      return origin.softwareVersion;
    },
  };
}
