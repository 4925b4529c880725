import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Connections that are opened at once, before the next ones. */
const BATCH_SIZE = 30;
const BATCH_GAP_MS = 5;

/** Many connections of callers to one process. */
export interface Crowd {
  /** Number of connections by the status of their first response; 0 for those that ended without one. */
  readonly outcomes: ReadonlyMap<number, number>;
  /** Resets all connections. */
  leave(): void;
}

/** Opens connections that each send a text and read what they get. */
export async function openCrowd(
  address: string,
  size: number,
  text: string | Uint8Array,
): Promise<Crowd> {
  const [host, port] = address.split(':');
  const outcomes = new Map<number, number>();
  const sockets: Socket[] = [];
  const record = (status: number) =>
    outcomes.set(status, (outcomes.get(status) ?? 0) + 1);
  const open = () => {
    const socket = connect(Number(port), host, () => socket.write(text));
    let isAnswered = false;
    socket.on('data', (bytes: Buffer) => {
      if (!isAnswered) record(Number(bytes.toString('latin1', 9, 12)));
      isAnswered = true;
    });
    // A reset is one of the ends that the outcomes count.
    socket.on('error', () => undefined);
    socket.on('close', () => isAnswered || record(0));
    return socket;
  };
  while (sockets.length < size) {
    const batchSize = Math.min(BATCH_SIZE, size - sockets.length);
    sockets.push(...Array.from({length: batchSize}, open));
    await sleep(BATCH_GAP_MS);
  }
  return {
    outcomes,
    leave: () => sockets.forEach(socket => socket.resetAndDestroy()),
  };
}

/** Returns header fields of a size in sum. */
export function createLargeHeaders(bytes: number, count: number) {
  const value = 'v'.repeat(
    Math.floor(bytes / count) - 'Large-1234: \r\n'.length,
  );
  return Object.fromEntries(
    Array.from({length: count}, (_, i) => [`Large-${1_000 + i}`, value]),
  );
}
