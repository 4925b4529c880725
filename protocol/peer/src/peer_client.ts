import {SardinestileError} from '@sardinestile/errors';
import type {LogPosition} from '@sardinestile/shared_feed';
import {parseJson, stringifyNameMaps, withTimeout} from '@sardinestile/types';
import {Agent, request} from 'undici';
import {
  CACHED_PARTS_PATH,
  cachedPartsSchema,
  CONFIG_PATH,
  confirmedConfigSchema,
  FLEET_HEADER,
  STREAM_VERSION_PATH,
  streamVersionSchema,
  upstreamChangesSchema,
  UPSTREAMS_PATH,
  USAGE_PATH,
  type CachedParts,
  GROUP_USAGE_PATH,
  type ConfirmedConfig,
  type GroupUsage,
  type RelayedUsage,
  type StreamVersion,
  type UpstreamChanges,
} from './peer_messages.js';

/** Timeout of a call that the peer answers at once. */
const CALL_TIMEOUT_MS = 500;

/**
 * Time that a long poll may take beyond the requested wait. It is shorter than
 * CALL_TIMEOUT_MS, since the caller reads from the store after a failure.
 */
const LONG_POLL_MARGIN_MS = 300;

/** Largest response that is read: the whole configuration or list of upstreams. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Most values in a response; the record of an upstream has some ten. */
const MAX_RESPONSE_VALUES = 400_000;

/**
 * HTTP client for the peer API of other gateways. A call makes one attempt and
 * rejects if it fails.
 */
export interface PeerClient {
  /**
   * Fetches the configuration that the peer at `host:port` last confirmed; the
   * table is omitted if its version is `knownVersion`. With `waitMs` it is a
   * long poll for another version or another state of a zone.
   */
  fetchConfig(
    address: string,
    knownVersion: number,
    waitMs?: number,
  ): Promise<ConfirmedConfig>;
  /** Has the peer store usage counts for this gateway. */
  relayUsage(address: string, usage: RelayedUsage): Promise<void>;
  /**
   * Long poll: resolves with the changes since a position, or without changes
   * after `waitMs`.
   */
  fetchUpstreamChanges(
    address: string,
    since: LogPosition | undefined,
    waitMs: number,
  ): Promise<UpstreamChanges>;
  /** Fetches the cached prompt parts that the peer knows. */
  fetchCachedParts(address: string): Promise<CachedParts>;
  /**
   * Fetches the service and the software version at which the stream that a request
   * began has to go on; rejects if the peer does not remember the stream.
   */
  fetchStreamVersion(
    address: string,
    requestId: string,
  ): Promise<StreamVersion>;
  /** Tells the peer which prompt parts engines have in their caches. */
  sendCachedParts(address: string, cached: CachedParts): Promise<void>;
  /** Tells a peer of another group what organisations were given in this group. */
  sendGroupUsage(address: string, usage: GroupUsage): Promise<void>;
  close(): Promise<void>;
}

/**
 * Creates a peer client. `fleetId` is sent with each call, so that gateways of
 * other fleets refuse it.
 */
export function createPeerClient(
  fleetId: () => string | undefined,
): PeerClient {
  const limits = {
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: {timeout: CALL_TIMEOUT_MS},
  };
  const dispatcher = new Agent({connections: 1, ...limits});
  // Long polls, one for each kind of record, use connections of their own, so
  // that they do not delay each other and the other calls.
  const longPollDispatcher = new Agent({connections: 2, ...limits});
  const call = async (
    method: 'GET' | 'POST',
    address: string,
    path: string,
    {body, waitMs}: {body?: unknown; waitMs?: number} = {},
  ): Promise<unknown> => {
    const timeoutMs =
      waitMs === undefined ? CALL_TIMEOUT_MS : waitMs + LONG_POLL_MARGIN_MS;
    const controller = new AbortController();
    // undici does not abort a request that waits for its connection, so that the
    // timeout does not rely on the signal.
    return withTimeout(
      send(method, address, path, {body, waitMs, signal: controller.signal}),
      timeoutMs,
      () => controller.abort(),
    );
  };
  const send = async (
    method: 'GET' | 'POST',
    address: string,
    path: string,
    options: {body?: unknown; waitMs?: number; signal: AbortSignal},
  ): Promise<unknown> => {
    const {body, waitMs, signal} = options;
    const response = await request(`http://${address}${path}`, {
      method,
      dispatcher: waitMs === undefined ? dispatcher : longPollDispatcher,
      headers: {[FLEET_HEADER]: fleetId() ?? ''},
      body: body === undefined ? undefined : stringifyNameMaps(body),
      signal,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new SardinestileError({
        code: 'PEER_UNAVAILABLE',
        message: `peer ${address} answered ${method} ${path} with ${response.statusCode}`,
      });
    }
    return parseJson(text, MAX_RESPONSE_VALUES);
  };
  return {
    async fetchConfig(address, knownVersion, waitMs) {
      const query = `have=${knownVersion}&waitMs=${waitMs ?? 0}`;
      const path = `${CONFIG_PATH}?${query}`;
      return confirmedConfigSchema.parse(
        await call('GET', address, path, {waitMs}),
      );
    },
    async relayUsage(address, usage) {
      await call('POST', address, USAGE_PATH, {body: usage});
    },
    async fetchUpstreamChanges(address, since, waitMs) {
      const query = new URLSearchParams({
        ...(since && {version: String(since.version)}),
        ...(since?.cursor && {
          epoch: since.cursor.epoch,
          position: String(since.cursor.position),
        }),
        waitMs: String(waitMs),
      });
      const path = `${UPSTREAMS_PATH}?${query}`;
      return upstreamChangesSchema.parse(
        await call('GET', address, path, {waitMs}),
      );
    },
    fetchCachedParts: async address =>
      cachedPartsSchema.parse(await call('GET', address, CACHED_PARTS_PATH)),
    async fetchStreamVersion(address, requestId) {
      // Peers of an older build conclude a version from the service, if it is named.
      const query = new URLSearchParams({request: requestId});
      const path = `${STREAM_VERSION_PATH}?${query}`;
      return streamVersionSchema.parse(await call('GET', address, path));
    },
    async sendCachedParts(address, cached) {
      await call('POST', address, CACHED_PARTS_PATH, {body: cached});
    },
    async sendGroupUsage(address, usage) {
      await call('POST', address, GROUP_USAGE_PATH, {body: usage});
    },
    async close() {
      await dispatcher.destroy();
      await longPollDispatcher.destroy();
    },
  };
}
