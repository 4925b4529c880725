import {after, before, describe} from 'node:test';
import {runHostileClients} from '@sardinestile/hosting_tests';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  type TestCluster,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];
const SEEDS = [1, 2, 3];
const CONNECTIONS = 600;

describe('entry and agent processes that hostile clients reach', () => {
  const {model, organisation} = DEPLOYMENT;
  const ended: string[] = [];
  let cluster: TestCluster;
  let isStopping = false;

  before(async () => {
    cluster = await startDeployment(DEPLOYMENT);
    for (const {instance, process} of cluster.members) {
      void process.exited.then(code => {
        if (!isStopping) ended.push(`${instance.id}: ${code}`);
      });
    }
  });
  after(async () => {
    isStopping = true;
    await cluster.stop();
  });

  for (const seed of SEEDS) {
    itOrKnownRed(`go on and serve sound callers, seed ${seed}`, async () => {
      const [entry] = entriesOf(cluster);
      let isHostile = true;
      const hostile = runHostileClients({
        seed,
        connections: CONNECTIONS,
        addresses: cluster.members.flatMap(({process}) =>
          [process.address, process.opsAddress, process.peerAddress].filter(
            address => address !== '',
          ),
        ),
      }).then(() => (isHostile = false));
      let served = 0;
      while (isHostile) {
        const response = await callChat({
          address: entry.process.address,
          secret: cluster.secrets.get(organisation)!,
          model,
          content: `sound ${seed}`,
          maxTokens: 5,
        });
        expect(response.isComplete).toEqual(true);
        served++;
      }
      await hostile;
      expect(served > 0).toEqual(true);
      expect(ended).toEqual([]);
      const faultLines = cluster.members.flatMap(({process}) =>
        process.lines.filter(line => line.includes('event=input_failed')),
      );
      expect(faultLines).toEqual([]);
    });
  }
});
