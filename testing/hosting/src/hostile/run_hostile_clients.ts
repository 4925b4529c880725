import fc from 'fast-check';
import {hostileConnection, playConnection} from './hostile_connection.js';
import {hostileDatagram, sendDatagrams} from './hostile_datagrams.js';

/** Connections that are open at a time. */
const CONCURRENCY = 24;

/** Datagrams to each address, as a share of its connections. */
const DATAGRAMS_PER_CONNECTION = 0.5;

/** Options for `runHostileClients`. */
export interface HostileClientsOptions {
  /** Equal seeds give equal connections and datagrams in the same order. */
  seed: number;
  /** Number of connections to all addresses together. */
  connections: number;
  /** Addresses of the form host:port, used in turn. */
  addresses: readonly string[];
  /** Addresses that receive datagrams, and the fleet that they belong to. */
  datagrams?: {addresses: readonly string[]; fleetId: string};
}

/** Lets clients send what no sound client sends, by seed; resolves when all connections have closed. */
export async function runHostileClients({
  seed,
  connections,
  addresses,
  datagrams,
}: HostileClientsOptions): Promise<void> {
  const plans = fc.sample(hostileConnection, {seed, numRuns: connections});
  let next = 0;
  const work = async () => {
    for (let i = next++; i < plans.length; i = next++) {
      await playConnection(addresses[i % addresses.length], plans[i]);
    }
  };
  const sendAllDatagrams = (datagrams?.addresses ?? []).map(address =>
    sendDatagrams(
      address,
      fc.sample(hostileDatagram(datagrams!.fleetId), {
        seed,
        numRuns: Math.ceil(connections * DATAGRAMS_PER_CONNECTION),
      }),
    ),
  );
  await Promise.all([
    ...Array.from({length: CONCURRENCY}, work),
    ...sendAllDatagrams,
  ]);
}
