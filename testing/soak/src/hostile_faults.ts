import {readFleetId, runHostileClients} from '@sardinestile/hosting_tests';
import {pickRandom, type Fault} from './soak_context.js';

/** Connections of hostile clients in one fault. */
const CONNECTIONS = 120;

/** Range of the seeds of hostile clients. */
const SEED_RANGE = 1_000_000;

/** Names of services that other writers may register upstreams for. */
const ODD_SERVICES = ['__proto__', 'constructor', '\u0000', 's'.repeat(2_000)];

/** Time after which odd registrations are removed, in milliseconds. */
const ODD_REGISTRATIONS_MS = 3_000;

/** Clients and writers that send what no sound one sends; they excuse no lost request. */
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
  oddRegistrations({cluster, hostileRandom, runLater}) {
    const [upstream] = cluster.upstreams;
    const entries = ODD_SERVICES.map((service, i) => {
      const id = `odd-${i}`;
      const version = pickRandom(ODD_SERVICES, hostileRandom);
      const {address} = upstream;
      const entry = {service, address, zone: service, version, slots: 1};
      const state = {state: 'ready', cold_left_ms: 0, seq: 1};
      cluster.store.putJson('servers', id, {...entry, ...state});
      return id;
    });
    runLater(ODD_REGISTRATIONS_MS, () =>
      entries.forEach(id => cluster.store.remove('servers', id)),
    );
    return 'registrations of services with odd names';
  },
};
