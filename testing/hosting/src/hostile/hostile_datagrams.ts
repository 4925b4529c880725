import {createSocket, type Socket} from 'node:dgram';
import {encodeLedgerMessage, type LedgerUpdate} from '@sardinestile/ledger';
import fc from 'fast-check';

/** Largest datagram that is sent, in bytes. */
const MAX_DATAGRAM_BYTES = 60_000;

/** Source ports; the lowest ones need rights that the process may lack. */
const SOURCE_PORTS = [1, 53, 1_024, 1_025, 0, 0];

const id = fc.oneof(
  fc.constantFrom('u1', 'r1', '', '__proto__', 'constructor'),
  fc.string({maxLength: 20}),
);
const number = fc.oneof(
  fc.constantFrom(0, -1, 1, 1e308, -1e308, 2 ** 53, 5e-324, 0.5),
  fc.double({noNaN: true, noDefaultInfinity: true}),
);

const update = fc.oneof(
  fc.record({
    kind: fc.constant('placed' as const),
    requestId: id,
    upstreamId: id,
    promptParts: fc.array(fc.record({id, tokens: number}), {maxLength: 5}),
    uncachedTokens: number,
    promptTokens: number,
    urgency: number,
  }),
  fc.record({
    kind: fc.constantFrom('firstEvent' as const, 'ended' as const),
    requestId: id,
    upstreamId: id,
  }),
  fc.record({
    kind: fc.constant('limit' as const),
    upstreamId: id,
    startedAtWallMs: number,
    limitPerS: number,
  }),
  fc.record({
    kind: fc.constant('crash' as const),
    upstreamId: id,
    startedAtWallMs: number,
    atMs: number,
    parts: fc.array(fc.record({id, depth: number}), {maxLength: 5}),
  }),
) as fc.Arbitrary<LedgerUpdate>;

/** Datagrams that begin as those of a gateway of the fleet, and are damaged on the way. */
const damagedDatagram = (fleetId: string) =>
  fc
    .record({
      updates: fc.array(update, {maxLength: 6}),
      flips: fc.array(fc.nat(), {minLength: 1, maxLength: 6}),
      keptShare: fc.constantFrom(1, 1, 0.9, 0.5, 0.1),
    })
    .map(({updates, flips, keptShare}) => {
      const bytes = encodeLedgerMessage({
        fleetId,
        instance: 'hostile',
        startedAtMs: 1,
        slewedWallMs: Date.now(),
        status: {isStopping: false, hasSeenDutyHeld: false},
        isBetweenGroups: true,
        updates,
      });
      for (const flip of flips) {
        bytes[(flip >> 3) % bytes.length] ^= 1 << (flip & 7);
      }
      return bytes.subarray(0, Math.ceil(bytes.length * keptShare));
    });

const randomDatagram = fc
  .uint8Array({maxLength: 1_500})
  .map(bytes => Buffer.from(bytes));

const hugeDatagram = fc
  .constantFrom('[', '{"a":', '["__proto__",')
  .map(text => Buffer.from(text.repeat(MAX_DATAGRAM_BYTES / text.length)));

/** Datagrams to gateways of a fleet. */
export function hostileDatagram(fleetId: string): fc.Arbitrary<Buffer> {
  return fc.oneof(
    {weight: 6, arbitrary: damagedDatagram(fleetId)},
    {weight: 3, arbitrary: randomDatagram},
    {weight: 1, arbitrary: hugeDatagram},
  );
}

/** Sends datagrams to an address of the form host:port, from several source ports. */
export async function sendDatagrams(
  address: string,
  datagrams: readonly Buffer[],
): Promise<void> {
  const [host, port] = address.split(':');
  const sockets = (await Promise.all(SOURCE_PORTS.map(openSocket))).filter(
    socket => socket !== undefined,
  );
  await Promise.all(
    datagrams.map(
      (bytes, i) =>
        new Promise<void>(resolve =>
          sockets[i % sockets.length].send(bytes, Number(port), host, () =>
            resolve(),
          ),
        ),
    ),
  );
  sockets.forEach(socket => socket.close());
}

/** Opens a socket with a source port; undefined if the port is taken or not allowed. */
function openSocket(sourcePort: number): Promise<Socket | undefined> {
  const socket = createSocket('udp4');
  return new Promise(resolve => {
    socket.once('error', () => {
      socket.close();
      resolve(undefined);
    });
    socket.bind(sourcePort, '127.0.0.1', () => {
      socket.removeAllListeners('error').on('error', () => undefined);
      resolve(socket);
    });
  });
}
