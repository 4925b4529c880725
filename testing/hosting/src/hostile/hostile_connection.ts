import {connect} from 'node:net';
import fc from 'fast-check';
import {hostileBytes} from './hostile_requests.js';

/** Longest time for which a client keeps a connection, in milliseconds. */
const MAX_CONNECTION_MS = 1_500;

/** How a client ends its connection. */
type ClientEnd = 'reset' | 'close' | 'halfClose';

/** What a client does on one connection. */
export interface HostileConnection {
  bytes: Buffer;
  /** Share of the bytes that is sent. */
  sentShare: number;
  /** Number of writes, and the pause after each in milliseconds. */
  writes: number;
  pauseMs: number;
  /** Time from the last write to the end, in milliseconds. */
  endAfterMs: number;
  end: ClientEnd;
  isReading: boolean;
}

/** Connections of hostile clients. */
export const hostileConnection: fc.Arbitrary<HostileConnection> = fc.record({
  bytes: hostileBytes,
  sentShare: fc.oneof(
    {weight: 3, arbitrary: fc.constant(1)},
    {weight: 1, arbitrary: fc.double({min: 0, max: 1, noNaN: true})},
  ),
  writes: fc.constantFrom(1, 1, 1, 2, 5, 20),
  pauseMs: fc.constantFrom(0, 1, 5, 25),
  endAfterMs: fc.constantFrom(0, 0, 1, 3, 10, 30, 100, 400),
  end: fc.constantFrom('reset', 'reset', 'close', 'halfClose'),
  isReading: fc.boolean(),
});

const ENDS: Readonly<Record<ClientEnd, 'resetAndDestroy' | 'destroy' | 'end'>> =
  {reset: 'resetAndDestroy', close: 'destroy', halfClose: 'end'};

/** Plays a connection to an address of the form host:port; resolves when it has closed. */
export function playConnection(
  address: string,
  {bytes, end, endAfterMs, ...plan}: HostileConnection,
): Promise<void> {
  const [host, port] = address.split(':');
  const sent = bytes.subarray(0, Math.ceil(bytes.length * plan.sentShare));
  const pieceBytes = Math.max(1, Math.ceil(sent.length / plan.writes));
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port), noDelay: true});
    const timers = [setTimeout(() => socket.destroy(), MAX_CONNECTION_MS)];
    // The server may end the connection at any time.
    socket.on('error', () => undefined);
    socket.once('close', () => {
      timers.forEach(clearTimeout);
      resolve();
    });
    if (plan.isReading) socket.resume();
    const write = (at: number) => {
      if (socket.destroyed) return;
      socket.write(sent.subarray(at, at + pieceBytes));
      const next = at + pieceBytes;
      timers.push(
        next < sent.length
          ? setTimeout(() => write(next), plan.pauseMs)
          : setTimeout(() => socket[ENDS[end]](), endAfterMs),
      );
    };
    socket.once('connect', () => write(0));
  });
}
