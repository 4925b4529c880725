import {SardinestileError} from '@sardinestile/errors';
import {Agent, request} from 'undici';
import type {LogPosition} from '@sardinestile/shared_feed';
import {
  CONFIG_PATH,
  configProofSchema,
  FLEET_HEADER,
  upstreamCopySchema,
  UPSTREAMS_PATH,
  USAGE_PATH,
  type ConfigProof,
  type RelayedUsage,
  type UpstreamCopy,
} from './peer_messages.js';

/** Time after which a peer's answer is given up, in milliseconds. */
const CALL_TIMEOUT_MS = 500;

/** The same beyond the wait that was asked for; shorter, since the store is read next. */
const WAITING_SLACK_MS = 300;

/** Asks other gateways; each call makes one attempt. */
export interface PeerClient {
  /** What the peer at `host:port` can prove of the configuration. */
  askConfig(address: string, haveVersion: number): Promise<ConfigProof>;
  relayUsage(address: string, usage: RelayedUsage): Promise<void>;
  /** What changed of the upstreams since a position, once something has or the wait is over. */
  askUpstreams(
    address: string,
    since: LogPosition | undefined,
    waitMs: number,
  ): Promise<UpstreamCopy>;
  close(): Promise<void>;
}

/** Makes a client of a gateway's fleet. */
export function createPeerClient(
  fleetId: () => string | undefined,
): PeerClient {
  const dispatcher = new Agent({connections: 1});
  // Calls that wait for changes must not hold up the others.
  const waitingDispatcher = new Agent({connections: 1});
  const call = async (
    method: 'GET' | 'POST',
    address: string,
    path: string,
    {body, waitMs}: {body?: unknown; waitMs?: number} = {},
  ): Promise<unknown> => {
    const response = await request(`http://${address}${path}`, {
      method,
      dispatcher: waitMs === undefined ? dispatcher : waitingDispatcher,
      headers: {[FLEET_HEADER]: fleetId() ?? ''},
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(
        waitMs === undefined ? CALL_TIMEOUT_MS : waitMs + WAITING_SLACK_MS,
      ),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new SardinestileError({
        code: 'PEER_UNAVAILABLE',
        message: `peer ${address} answered ${method} ${path} with ${response.statusCode}`,
      });
    }
    return JSON.parse(text);
  };
  return {
    async askConfig(address, haveVersion) {
      const path = `${CONFIG_PATH}?have=${haveVersion}`;
      return configProofSchema.parse(await call('GET', address, path));
    },
    async relayUsage(address, usage) {
      await call('POST', address, USAGE_PATH, {body: usage});
    },
    async askUpstreams(address, since, waitMs) {
      const query = new URLSearchParams({
        ...(since && {version: String(since.version)}),
        ...(since?.place && {
          epoch: since.place.epoch,
          position: String(since.place.position),
        }),
        waitMs: String(waitMs),
      });
      const path = `${UPSTREAMS_PATH}?${query}`;
      return upstreamCopySchema.parse(
        await call('GET', address, path, {waitMs}),
      );
    },
    async close() {
      await dispatcher.destroy();
      await waitingDispatcher.destroy();
    },
  };
}
