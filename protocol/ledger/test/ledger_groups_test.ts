import {createSocket} from 'node:dgram';
import {after, before, describe, it} from 'node:test';
import {createAddressOpener} from '@sardinestile/connections';
import {createLogger} from '@sardinestile/logger';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {
  createLedgerLink,
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

describe('groups of createLedgerLink', () => {
  const links: LedgerLink[] = [];
  const addresses: PeerAddress[] = [];
  const lost: string[] = [];
  const received: string[] = [];
  before(async () => {
    for (const instance of NAMES) {
      const address = {host: HOST, port: await findFreePort()};
      addresses.push(address);
      links.push(await openLink(instance, address));
    }
  });
  after(() => links.forEach(link => link.close()));

  const openLink = async (instance: string, address: PeerAddress) => {
    const clock = createSystemClock();
    const link = createLedgerLink({
      instance,
      address,
      clock,
      slewedTimeMs: () => clock.wallMs(),
      logger: createLogger({level: 'error'}),
      observer: {
        onUpdate(sender, {kind}, isFromOtherGroup) {
          const origin = isFromOtherGroup ? 'other group' : 'group';
          received.push(`${instance} got ${kind} of ${sender}, ${origin}`);
        },
        onPeerLost: peer => lost.push(`${instance} lost ${peer}`),
      },
      status: () => ({isStopping: false, hasSeenDutyHeld: false}),
    });
    await link.open(createAddressOpener());
    link.joinFleet('fleet');
    return link;
  };
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

  describe('updates', () => {
    const send = async (isForAllGroups: boolean) => {
      received.length = 0;
      const update = {kind: 'ended', requestId: 'r', upstreamId: 'u'} as const;
      links[0].send(update, true, isForAllGroups);
      await sleep(DISCOVERY_LIMIT_MS);
      return received.sort();
    };

    it('reach the own group only unless they are for all groups', async () => {
      expect(await send(false)).toEqual(['two got ended of one, group']);
    });

    it('for all groups reach every gateway, also one that does not know the sender', async () => {
      expect(await send(true)).toEqual([
        'three got ended of one, other group',
        'two got ended of one, group',
      ]);
      // Heartbeats to the sender would make it a member of the wrong group.
      expect(namesOf(links[2])).toEqual([]);
      links[2].setAddresses([], [addresses[0], addresses[1]]);
      expect((await send(true)).length).toEqual(2);
    });

    it('of a gateway that has restarted or left end its requests in other groups', async () => {
      lost.length = 0;
      links[0].close();
      links[0] = await openLink('one', addresses[0]);
      links[0].setAddresses([addresses[1]], [addresses[2]]);
      await send(true);
      expect(lost.includes('three lost one')).toEqual(true);
      lost.length = 0;
      links[2].setAddresses([], [addresses[1]]);
      expect(lost).toEqual([]);
      await sleep(PEER_LOSS_MS);
      links[2].setAddresses([], [addresses[1]]);
      expect(lost.includes('three lost one')).toEqual(true);
    });

    it('reach a gateway that the sender does not know yet, once that one knows the sender', async () => {
      links[0].setAddresses([addresses[1]], []);
      links[2].setAddresses([], [addresses[0]]);
      await sleep(DISCOVERY_LIMIT_MS);
      expect(
        (await send(true)).includes('three got ended of one, other group'),
      ).toEqual(true);
    });

    it('of a gateway that joins the group do not end its requests', async () => {
      links[2].setAddresses([], [addresses[0], addresses[1]]);
      await send(true);
      await sleep(PEER_LOSS_MS);
      lost.length = 0;
      links[2].setAddresses([addresses[0]], [addresses[1]]);
      expect(lost).toEqual([]);
    });
  });
});
