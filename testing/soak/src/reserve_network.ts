import {createServer, type Server} from 'node:net';

/** Range of the networks 127.0.x.0/24 that soaks use; x is the network. */
const FIRST_NETWORK = 20;
const NETWORK_COUNT = 200;

/**
 * Last octet and port of the address on which a soak listens to reserve its
 * network. Gateways have lower octets.
 */
const LOCK_OCTET = 254;
const LOCK_PORT = 18_700;

/** A loopback network that no other soak on this machine uses. */
export interface ReservedNetwork {
  /** Third octet of its IP addresses. */
  network: number;
  release(): void;
}

/**
 * Reserves the first free network, starting at one derived from the seed.
 * Rejects if all networks are in use.
 */
export async function reserveNetwork(seed: number): Promise<ReservedNetwork> {
  for (let offset = 0; offset < NETWORK_COUNT; offset++) {
    const network = FIRST_NETWORK + ((seed + offset) % NETWORK_COUNT);
    const lock = await tryListen(`127.0.${network}.${LOCK_OCTET}`);
    if (lock) return {network, release: () => lock.close()};
  }
  throw new Error(`all ${NETWORK_COUNT} networks are in use by other soaks`);
}

/** Listens on the address; undefined if another process already does. */
function tryListen(host: string): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(error);
    });
    server.listen(LOCK_PORT, host, () => resolve(server));
  });
}
