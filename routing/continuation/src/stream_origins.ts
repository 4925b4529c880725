import {LRUCache} from 'lru-cache';
import {
  STREAM_LIFETIME_MS,
  type VersionedUpstream as BegunStream,
} from './version_history.js';

/** Streams that are remembered; the latest ones. */
const MAX_STREAMS = 20_000;

/** Service and software version that began a stream; the version is absent if it is unknown. */
export type {BegunStream};

/** Service and software version that began a stream, at which it has to go on. */
export type StreamOrigin = Required<BegunStream>;

/** What began a stream, as a gateway remembers it. */
export interface RememberedOrigin extends StreamOrigin {
  /** Time since it was recorded, in milliseconds. */
  ageMs: number;
}

/** What began streams, as this gateway saw or was told. */
export interface StreamOrigins {
  /**
   * Records what wrote the first event of a request's stream. A later record for the
   * same request changes nothing, and an unknown version is not recorded.
   */
  record(requestId: string, stream: BegunStream, nowMs: number): void;
  /** Returns what began the stream of a request; undefined if it is unknown. */
  originOf(requestId: string, nowMs: number): RememberedOrigin | undefined;
}

interface StreamRecord extends StreamOrigin {
  recordedAtMs: number;
}

/** Creates an empty memory. Times are monotonic, in milliseconds. */
export function createStreamOrigins(): StreamOrigins {
  const records = new LRUCache<string, StreamRecord>({max: MAX_STREAMS});
  return {
    record(requestId, {service, softwareVersion}, nowMs) {
      if (softwareVersion === undefined || records.has(requestId)) return;
      records.set(requestId, {service, softwareVersion, recordedAtMs: nowMs});
    },
    originOf(requestId, nowMs) {
      const record = records.get(requestId);
      if (!record) return undefined;
      const {service, softwareVersion, recordedAtMs} = record;
      const ageMs = nowMs - recordedAtMs;
      return ageMs > STREAM_LIFETIME_MS
        ? undefined
        : {service, softwareVersion, ageMs};
    },
  };
}
