import type {UpstreamFleet} from '@sardinestile/fleet';
import type {GatewayCount} from '../shared/gateway_count.js';

/**
 * Connections to one upstream that a gateway may open even if its share of the
 * limit is smaller.
 */
const MIN_CONNECTIONS_PER_UPSTREAM = 2;

/** Connection limit of an upstream whose service is not in the configuration. */
const DEFAULT_CONNECTIONS_PER_UPSTREAM = 100;

/**
 * Returns this gateway's share of the connections that an upstream of the service
 * takes from all gateways that send to it.
 */
export function connectionShare(
  fleet: Pick<UpstreamFleet, 'isSharedByGroups'>,
  gateways: Pick<GatewayCount, 'inFleet' | 'inGroup'>,
  service: {name: string; maxConnections?: number},
): number {
  const {name, maxConnections = DEFAULT_CONNECTIONS_PER_UPSTREAM} = service;
  const senders = fleet.isSharedByGroups(name)
    ? gateways.inFleet
    : gateways.inGroup;
  return Math.max(
    MIN_CONNECTIONS_PER_UPSTREAM,
    Math.floor(maxConnections / senders),
  );
}
