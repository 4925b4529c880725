import {readFleetId, runHostileClients} from '@sardinestile/hosting_tests';
import type {Fault} from './soak_context.js';

/** Connections of hostile clients in one fault. */
const CONNECTIONS = 120;

/** Range of the seeds of hostile clients. */
const SEED_RANGE = 1_000_000;

/** Clients that send what no sound client sends; they excuse no lost request. */
export const HOSTILE_FAULTS: Readonly<Record<string, Fault>> = {
  hostile(soak) {
    const seed = Math.floor(soak.hostileRandom() * SEED_RANGE);
    const fleetId = readFleetId(soak.cluster, 'sardinestile', 'system');
    soak.hostileRuns.push(
      runHostileClients({
        seed,
        connections: CONNECTIONS,
        addresses: soak.gateways.flatMap(gateway => [
          gateway.address,
          gateway.peerAddress,
          gateway.readinessAddress,
          gateway.metricsAddress,
        ]),
        datagrams: {
          fleetId,
          addresses: soak.gateways.map(({peerAddress}) => peerAddress),
        },
      }),
    );
    return `hostile clients, seed ${seed}`;
  },
};
