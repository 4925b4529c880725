import type {GatewayCluster} from '../gateway_cluster.js';

/** Returns the id that the datagrams of a cluster's gateways carry; empty before one has stored it. */
export function readFleetId(
  {store}: GatewayCluster,
  table: string,
  partition: string,
): string {
  const row = store.rows(table, partition).find(({key}) => key === 'fleet/id');
  return Buffer.from(row?.value ?? '', 'base64').toString();
}
