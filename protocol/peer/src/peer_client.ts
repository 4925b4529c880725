import {SardinestileError} from '@sardinestile/errors';
import {Agent, request} from 'undici';
import {
  CONFIG_PATH,
  configProofSchema,
  FLEET_HEADER,
  USAGE_PATH,
  type ConfigProof,
  type RelayedUsage,
} from './peer_messages.js';

/** Time after which a peer's answer is given up, in milliseconds. */
const CALL_TIMEOUT_MS = 500;

/** Asks other gateways; each call makes one attempt. */
export interface PeerClient {
  /** What the peer at `host:port` can prove of the configuration. */
  askConfig(address: string, haveVersion: number): Promise<ConfigProof>;
  relayUsage(address: string, usage: RelayedUsage): Promise<void>;
  close(): Promise<void>;
}

/** Makes a client of a gateway's fleet. */
export function createPeerClient(
  fleetId: () => string | undefined,
): PeerClient {
  const dispatcher = new Agent({connections: 1});
  const call = async (
    method: 'GET' | 'POST',
    address: string,
    path: string,
    body?: unknown,
  ): Promise<unknown> => {
    const response = await request(`http://${address}${path}`, {
      method,
      dispatcher,
      headers: {[FLEET_HEADER]: fleetId() ?? ''},
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
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
      await call('POST', address, USAGE_PATH, usage);
    },
    close: () => dispatcher.destroy(),
  };
}
