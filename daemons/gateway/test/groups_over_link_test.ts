import {createSocket} from 'node:dgram';
import {after, before, describe, it} from 'node:test';
import {createStreamOrigins} from '@sardinestile/continuation';
import {createUpstreamFleet, type UpstreamFleet} from '@sardinestile/fleet';
import {
  createLedgerLink,
  type LedgerLink,
  type PeerAddress,
} from '@sardinestile/ledger';
import {createAddressOpener} from '@sardinestile/connections';
import {createLogger} from '@sardinestile/logger';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {
  createFleetReporter,
  type FleetReporter,
} from '../src/shared/fleet_reporter.js';

const HOST = '127.0.0.1';

/** Time in which a datagram arrives on loopback, with a margin, in milliseconds. */
const DELIVERY_MS = 150;

interface TestGateway {
  fleet: UpstreamFleet;
  reporter: FleetReporter;
  link: LedgerLink;
}

function findFreePort(): Promise<number> {
  return new Promise(resolve => {
    const socket = createSocket('udp4').bind(0, HOST, () => {
      const {port} = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

const sleep = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

async function startTestGateway(
  index: number,
  address: PeerAddress,
): Promise<TestGateway> {
  const clock = createSystemClock();
  const fleet = createUpstreamFleet({
    traitsOf: () => undefined,
    shortestTargetGapMs: () => Infinity,
  });
  for (let i = 0; i < 3; i++) {
    fleet.membership.put(
      {
        id: `u${i}`,
        service: 'pool',
        address: `127.0.0.1:${i}`,
        availabilityZone: 'a',
        places: 6,
        isLeaving: false,
        coldMs: 0,
        startedAtWallMs: 1,
      },
      0,
    );
  }
  fleet.setGroup({index, count: 2, gateways: 43});
  const instance = `front-${index}`;
  const link = createLedgerLink({
    instance,
    address,
    clock,
    slewedTimeMs: () => clock.wallMs(),
    logger: createLogger({level: 'error'}),
    observer: {
      onUpdate: (peer, event, isFromOtherGroup) =>
        reporter.applyPeerUpdate(peer, event, isFromOtherGroup),
      onPeerLost: peer => fleet.removeGateway(peer, clock.monotonicMs()),
    },
    status: () => ({isStopping: false, hasSeenDutyHeld: false}),
  });
  const reporter = createFleetReporter({
    instance,
    fleet,
    link,
    clock,
    streamOrigins: () => createStreamOrigins(),
    onEvidence: () => undefined,
    onUsage: () => undefined,
  });
  await link.open(createAddressOpener());
  link.joinFleet('fleet');
  return {fleet, reporter, link};
}

describe('gateways of two groups before the same upstreams', () => {
  const gateways: TestGateway[] = [];
  const addresses: PeerAddress[] = [];
  before(async () => {
    for (const index of [0, 1]) {
      addresses.push({host: HOST, port: await findFreePort()});
      gateways.push(await startTestGateway(index, addresses[index]));
    }
    gateways.forEach(({link}, i) =>
      link.setAddresses([addresses[i]], [addresses[1 - i]]),
    );
  });
  after(() => gateways.forEach(({link}) => link.close()));

  const place = (gateway: TestGateway, requestId: string) => {
    const prompt = {promptParts: [], uncachedTokens: 0, promptTokens: 0};
    gateway.reporter.recordPlacement(
      {requestId, upstreamId: 'u0', ...prompt, urgency: 1},
      0,
    );
  };
  const runningAtSecond = () => {
    const {fleet} = gateways[1];
    return fleet.upstreamStateOf(fleet.membership.get('u0')!).running;
  };

  it('know the load that the other group puts on them', async () => {
    place(gateways[0], 'r1');
    place(gateways[0], 'r2');
    await sleep(DELIVERY_MS);
    expect(runningAtSecond()).toEqual(2);
    gateways[0].reporter.recordEnd('u0', 'r1', false, 1);
    await sleep(DELIVERY_MS);
    expect(runningAtSecond()).toEqual(1);
    expect(gateways[1].link.livePeers()).toEqual([]);
  });

  it('forget the requests of a gateway that was killed and started again', async () => {
    gateways[0].link.close();
    gateways[0] = await startTestGateway(0, addresses[0]);
    gateways[0].link.setAddresses([addresses[0]], [addresses[1]]);
    place(gateways[0], 'r3');
    await sleep(DELIVERY_MS);
    expect(runningAtSecond()).toEqual(1);
  });
});
