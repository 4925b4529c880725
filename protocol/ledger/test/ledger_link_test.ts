import {createSocket} from 'node:dgram';
import {describe, it} from 'node:test';
import {createAddressOpener} from '@sardinestile/connections';
import {createLogger} from '@sardinestile/logger';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {createLedgerLink, type LedgerUpdate} from '../src/index.js';

const UPDATES: LedgerUpdate[] = [
  {
    kind: 'placed',
    requestId: 'r1',
    upstreamId: 'u1',
    promptParts: [{id: 'p', tokens: 12}],
    uncachedTokens: 3,
    promptTokens: 15,
    urgency: 1,
    targetGapMs: 100,
  },
  {kind: 'firstEvent', requestId: 'r1', upstreamId: 'u1'},
  {kind: 'ended', requestId: 'r1', upstreamId: 'u1', hasFailed: true},
  {kind: 'ended', requestId: 'r2', upstreamId: 'u1', hasFailed: undefined},
];

async function findFreePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(() => resolve()));
  return port;
}

async function openTestLink(
  instance: string,
  fleetId: string,
  apply: () => void = () => undefined,
) {
  const received: LedgerUpdate[] = [];
  const address = {host: '127.0.0.1', port: await findFreePort()};
  const link = createLedgerLink({
    instance,
    address,
    clock: createSystemClock(),
    slewedTimeMs: Date.now,
    logger: createLogger({level: 'silent'}),
    observer: {
      onUpdate(_peer, update) {
        received.push(update);
        apply();
      },
      onPeerLost: () => undefined,
    },
    status: () => ({isStopping: false, hasSeenDutyHeld: true}),
  });
  await link.open(createAddressOpener());
  link.joinFleet(fleetId);
  return {link, address, received};
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('createLedgerLink', () => {
  it('exchanges updates only with peers of its own fleet, even if it knows addresses of another fleet', async () => {
    const first = await openTestLink('a', 'one');
    const second = await openTestLink('b', 'one');
    const otherFleet = await openTestLink('c', 'two');
    const addresses = [first, second, otherFleet].map(({address}) => address);
    for (const {link} of [first, second, otherFleet]) {
      link.setAddresses(addresses, []);
    }
    await sleep(50);
    first.link.send(UPDATES[0], true);
    otherFleet.link.send(UPDATES[1], true);
    await sleep(50);
    expect(first.link.livePeers().map(({instance}) => instance)).toEqual(['b']);
    expect(second.received).toEqual([UPDATES[0]]);
    expect(first.received).toEqual([]);
    expect(otherFleet.received).toEqual([]);
    for (const {link} of [first, second, otherFleet]) link.close();
  });

  it('drops updates of requests that end after it was closed', async () => {
    const first = await openTestLink('a', 'one');
    const second = await openTestLink('b', 'one');
    first.link.setAddresses([second.address], []);
    await sleep(50);
    first.link.close();
    first.link.send(UPDATES[1], true);
    first.link.send(UPDATES[2], false);
    await sleep(50);
    expect(second.received).toEqual([]);
    second.link.close();
  });

  it('goes on sending to its peers when a registered address has an impossible port', async () => {
    const first = await openTestLink('a', 'one');
    const second = await openTestLink('b', 'one');
    const impossible = [0, 70_000, -1].map(port => ({host: '127.0.0.1', port}));
    first.link.setAddresses([...impossible, second.address], []);
    await sleep(50);
    first.link.send(UPDATES[1], true);
    // Heartbeats are sent to all addresses, too.
    await sleep(600);
    expect(second.received).toEqual([UPDATES[1]]);
    first.link.close();
    second.link.close();
  });

  it('goes on receiving when an update cannot be applied', async () => {
    const first = await openTestLink('a', 'one');
    const second = await openTestLink('b', 'one', () => {
      throw new Error('cannot be applied');
    });
    first.link.setAddresses([second.address], []);
    await sleep(50);
    first.link.send(UPDATES[1], true);
    await sleep(50);
    first.link.send(UPDATES[2], true);
    await sleep(50);
    expect(second.received).toEqual([UPDATES[1], UPDATES[2]]);
    first.link.close();
    second.link.close();
  });
});
