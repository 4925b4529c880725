import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

const SYSTEM_TABLE = 'system';
const SYSTEM_PARTITION = 'p';

/** Values that another writer may leave in a row of this system. */
const UNREADABLE_VALUES = ['not json', '{"a":1}', ''];

describe('gateways whose store has unreadable rows of this system', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];

  before(async () => {
    cluster = await createGatewayCluster(1);
    gateways = await Promise.all([1, 2].map(() => cluster.startGateway()));
  });
  after(() => cluster.close());

  const putRow = (key: string, value: string) =>
    cluster.store.transact({
      puts: [
        {
          table: SYSTEM_TABLE,
          part: SYSTEM_PARTITION,
          key,
          value: Buffer.from(value).toString('base64'),
        },
      ],
    });
  const countLines = (gateway: TestGateway, text: string) =>
    gateway.logs.filter(line => line.includes(text)).length;

  for (const value of UNREADABLE_VALUES) {
    it(`go on while the row of a lease holds ${JSON.stringify(value)}`, async () => {
      const before = gateways.map(gateway =>
        countLines(gateway, 'event=lease_unreadable'),
      );
      await waitUntil('the unreadable lease', () => {
        // A holder writes its row again.
        putRow('lease/usage', value);
        return gateways.some(
          (gateway, i) =>
            countLines(gateway, 'event=lease_unreadable') > before[i],
        );
      });
    });

    it(`find each other beside a row of a gateway that holds ${JSON.stringify(value)}`, async () => {
      putRow('gateway/zzz', value);
      const newest = await cluster.startGateway();
      await waitUntil(
        'its peers',
        () => countLines(newest, 'event=peer_found') >= 2,
      );
      expect(countLines(newest, 'row gateway/zzz')).toBeGreaterThan(0);
    });
  }
});
