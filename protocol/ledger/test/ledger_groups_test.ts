import {createSocket} from 'node:dgram';
import {after, before, describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {
  openLedgerLink,
  type LedgerLink,
  type PeerAddress,
} from '../src/index.js';

const HOST = '127.0.0.1';
const NAMES = ['one', 'two', 'three'];

/** Time in which gateways that know their addresses must find each other, in milliseconds. */
const DISCOVERY_LIMIT_MS = 250;

/** Time after which a peer without heartbeats is lost, and a margin, in milliseconds. */
const PEER_LOSS_MS = 3_500;

function findFreePort(): Promise<number> {
  return new Promise(resolve => {
    const socket = createSocket('udp4').bind(0, HOST, () => {
      const {port} = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

describe('groups of openLedgerLink', () => {
  const links: LedgerLink[] = [];
  const addresses: PeerAddress[] = [];
  const lost: string[] = [];
  before(async () => {
    const clock = createSystemClock();
    for (const instance of NAMES) {
      const address = {host: HOST, port: await findFreePort()};
      addresses.push(address);
      const link = await openLedgerLink({
        instance,
        address,
        clock,
        slewedTimeMs: () => clock.wallMs(),
        logger: createLogger({level: 'error'}),
        observer: {
          onUpdate: () => undefined,
          onPeerLost: peer => lost.push(`${instance} lost ${peer}`),
        },
        status: () => ({isStopping: false, hasSeenDutyHeld: false}),
      });
      link.joinFleet('fleet');
      links.push(link);
    }
  });
  after(() => links.forEach(link => link.close()));

  const sleep = (ms: number) =>
    new Promise<void>(resolve => setTimeout(resolve, ms));
  const namesOf = (link: LedgerLink) =>
    link
      .livePeers()
      .map(({instance}) => instance)
      .sort();

  it('makes peers live at once when only one of them knows the other', async () => {
    const [one, two, three] = links;
    one.setAddresses([], []);
    two.setAddresses([addresses[0]], []);
    three.setAddresses([addresses[0], addresses[1]], []);
    await sleep(DISCOVERY_LIMIT_MS);
    expect(links.map(namesOf)).toEqual([
      ['three', 'two'],
      ['one', 'three'],
      ['one', 'two'],
    ]);
  });

  it('separates groups, also for a gateway that does not know them yet', async () => {
    const [one, two] = links;
    one.setAddresses([addresses[1]], [addresses[2]]);
    two.setAddresses([addresses[0]], [addresses[2]]);
    expect(lost).toEqual(['one lost three', 'two lost three']);
    await sleep(PEER_LOSS_MS);
    expect(links.map(namesOf)).toEqual([['two'], ['one'], []]);
  });
});
