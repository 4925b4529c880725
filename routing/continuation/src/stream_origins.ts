import {LRUCache} from 'lru-cache';
import {STREAM_LIFETIME_MS, type VersionedUpstream} from './version_history.js';

/** Streams that are remembered; the latest ones. */
const MAX_STREAMS = 20_000;

/** Service and software version that began a stream, at which it has to go on. */
export type StreamOrigin = Required<VersionedUpstream>;

/** Services and software versions that began streams, as this gateway saw or was told. */
export interface StreamOrigins {
  /**
   * Records the service and the version of the upstream that wrote the first event of a
   * request's stream. A later record for the same request changes nothing, and an
   * unknown version is not recorded.
   */
  record(
    requestId: string,
    origin: Pick<VersionedUpstream, 'service'> & {
      softwareVersion: string | undefined;
    },
    nowMs: number,
  ): void;
  /** Returns what began the stream of a request; undefined if it is unknown. */
  originOf(requestId: string, nowMs: number): StreamOrigin | undefined;
}

interface RememberedStream {
  origin: StreamOrigin;
  beganAtMs: number;
}

/** Creates an empty memory. Times are monotonic, in milliseconds. */
export function createStreamOrigins(): StreamOrigins {
  const streams = new LRUCache<string, RememberedStream>({max: MAX_STREAMS});
  return {
    record(requestId, {service, softwareVersion}, nowMs) {
      if (softwareVersion === undefined || streams.has(requestId)) return;
      const origin = {service, softwareVersion};
      streams.set(requestId, {origin, beganAtMs: nowMs});
    },
    originOf(requestId, nowMs) {
      const stream = streams.get(requestId);
      if (!stream || nowMs - stream.beganAtMs > STREAM_LIFETIME_MS) {
        return undefined;
      }
      return stream.origin;
    },
  };
}
