import {createSocket} from 'node:dgram';
import {sortByHash} from '@sardinestile/fleet';
import {encodeLedgerMessage} from '@sardinestile/ledger';
import type {StoreState} from '@sardinestile/hosting_stand_ins';
import {startHostileRelay, type HostileRelay} from './hostile_relay.js';

/** Interval of the heartbeats to the other gateways, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 150;

/** Options for `startHostilePeer`. */
export interface HostilePeerOptions {
  seed: number;
  /** IP address and port for other gateways, by TCP and UDP. */
  host: string;
  port: number;
  /** Names of the gateways, and their addresses for other gateways. */
  gateways: ReadonlyArray<{name: string; peerAddress: string}>;
  fleetId: string;
  store: StoreState;
  /** Table and partition in which gateways register. */
  table: string;
  partition: string;
}

/**
 * Starts a stand-in that gateways take for one of them and that some follow. It answers
 * with what the next gateway in the order of store readers answers.
 */
export async function startHostilePeer(
  options: HostilePeerOptions,
): Promise<HostileRelay> {
  const {host, port, gateways, fleetId, store} = options;
  const names = gateways.map(({name}) => name);
  const name = findFirstName(names);
  const [reader] = sortByHash(gateways, gateway => gateway.name);
  const relay = await startHostileRelay({
    seed: options.seed,
    target: () => reader.peerAddress,
    host,
    port,
  });
  const row = {host, port, renewedAtMs: Date.now()};
  const {table, partition: part} = options;
  const key = `gateway/${name}`;
  const value = Buffer.from(JSON.stringify(row)).toString('base64');
  store.transact({puts: [{table, part, key, value}]});
  const startedAtMs = Date.now();
  const socket = createSocket('udp4').on('error', () => undefined);
  await new Promise<void>(resolve => socket.bind(port, host, resolve));
  const sendHeartbeats = () => {
    const bytes = encodeLedgerMessage({
      fleetId,
      instance: name,
      startedAtMs,
      slewedWallMs: Date.now(),
      status: {isStopping: false, hasSeenDutyHeld: true},
      isBetweenGroups: false,
      updates: [],
    });
    for (const {peerAddress} of gateways) {
      const [peerHost, peerPort] = peerAddress.split(':');
      socket.send(bytes, Number(peerPort), peerHost, () => undefined);
    }
  };
  const timer = setInterval(sendHeartbeats, HEARTBEAT_INTERVAL_MS);
  const closeRelay = relay.close;
  return Object.assign(relay, {
    async close() {
      clearInterval(timer);
      socket.close();
      await closeRelay();
    },
  });
}

/** Returns a name that comes before the others in the order of store readers. */
function findFirstName(names: readonly string[]): string {
  for (let i = 1; ; i++) {
    const name = `peer-${i}`;
    const [first] = sortByHash([...names, name], other => other);
    if (first === name) return name;
  }
}
