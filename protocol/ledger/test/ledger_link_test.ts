import {createSocket} from 'node:dgram';
import {describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {
  decodeLedgerMessage,
  encodeLedgerMessage,
  openLedgerLink,
  type LedgerNews,
} from '../src/index.js';

const NEWS: LedgerNews[] = [
  {
    kind: 'placed',
    requestId: 'r1',
    upstreamId: 'u1',
    parts: [{id: 'p', tokens: 12}],
    unreadTokens: 3,
    promptTokens: 15,
    urgency: 1,
    targetGapMs: 100,
  },
  {kind: 'firstEvent', requestId: 'r1', upstreamId: 'u1'},
  {kind: 'ended', requestId: 'r1', upstreamId: 'u1', hasFailed: true},
  {kind: 'ended', requestId: 'r2', upstreamId: 'u1', hasFailed: undefined},
];

async function freePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(() => resolve()));
  return port;
}

async function openTestLink(instance: string, fleetId: string) {
  const news: LedgerNews[] = [];
  const address = {host: '127.0.0.1', port: await freePort()};
  const link = await openLedgerLink({
    instance,
    address,
    clock: createSystemClock(),
    smoothTimeMs: Date.now,
    logger: createLogger({level: 'silent'}),
    observer: {
      onNews: (_peer, item) => news.push(item),
      onPeerGone: () => undefined,
    },
    status: () => ({isStopping: false, seesDutyHeld: true}),
  });
  link.joinFleet(fleetId);
  return {link, address, news};
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('ledger messages', () => {
  it('are decoded to what was encoded', () => {
    const message = {
      fleetId: 'f',
      instance: 'a',
      startedAtMs: 5,
      wallMs: 7,
      status: {isStopping: true, seesDutyHeld: false},
      news: NEWS,
    };
    expect(decodeLedgerMessage(encodeLedgerMessage(message))).toEqual(message);
  });

  it('are dropped where they cannot be read', () => {
    for (const text of ['', 'x', '[]', '["f","a",1,2,0,[["p"]]]', '{"a":1}']) {
      expect(decodeLedgerMessage(Buffer.from(text))).toEqual(undefined);
    }
  });
});

describe('ledger links', () => {
  it('hear of their own fleet only, although they know the address of another', async () => {
    const first = await openTestLink('a', 'one');
    const second = await openTestLink('b', 'one');
    const stranger = await openTestLink('c', 'two');
    const addresses = [first, second, stranger].map(({address}) => address);
    for (const {link} of [first, second, stranger]) {
      link.setAddresses(addresses);
    }
    await pause(50);
    first.link.send(NEWS[0], true);
    stranger.link.send(NEWS[1], true);
    await pause(50);
    expect(first.link.livePeers().map(({instance}) => instance)).toEqual(['b']);
    expect(second.news).toEqual([NEWS[0]]);
    expect(first.news).toEqual([]);
    expect(stranger.news).toEqual([]);
    for (const {link} of [first, second, stranger]) link.close();
  });
});
