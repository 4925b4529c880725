import {createServer, type Server} from 'node:net';

/** Networks of loopback addresses that soaks use. */
const FIRST_NETWORK = 20;
const NETWORKS = 200;

/** Address and port by which a soak holds its network; gateways have lower addresses. */
const LOCK_HOST = 254;
const LOCK_PORT = 18_700;

/** A network that no other soak on this machine uses. */
export interface ReservedNetwork {
  /** Third number of its addresses. */
  network: number;
  release(): void;
}

/** Reserves a network, beginning with the one that belongs to the seed. */
export async function reserveNetwork(seed: number): Promise<ReservedNetwork> {
  for (let offset = 0; offset < NETWORKS; offset++) {
    const network = FIRST_NETWORK + ((seed + offset) % NETWORKS);
    const lock = await listen(`127.0.${network}.${LOCK_HOST}`);
    if (lock) return {network, release: () => lock.close()};
  }
  throw new Error(`all ${NETWORKS} networks are in use by other soaks`);
}

/** A server on the address; undefined if another process has it. */
function listen(host: string): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(error);
    });
    server.listen(LOCK_PORT, host, () => resolve(server));
  });
}
