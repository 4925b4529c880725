import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  waitUntil,
  type TestCluster,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];

describe('an entry that gets signals while it drains', () => {
  let cluster: TestCluster;
  before(async () => {
    cluster = await startDeployment(DEPLOYMENT);
  });
  after(() => cluster.stop());

  it('finishes a stream and exits with code 0 when SIGTERM comes twice, and SIGHUP', async () => {
    const [entry] = entriesOf(cluster);
    let textCount = 0;
    const call = callChat({
      address: entry.process.address,
      secret: cluster.secrets.get(DEPLOYMENT.organisation)!,
      model: DEPLOYMENT.model,
      content: 'drain',
      maxTokens: 150,
      onText: () => textCount++,
    });
    await waitUntil(() => textCount > 10);
    entry.process.kill('SIGTERM');
    await waitUntil(() =>
      entry.process.lines.some(line => line.includes('event=process_stopping')),
    );
    entry.process.kill('SIGTERM');
    entry.process.kill('SIGHUP');
    const response = await call;
    expect(response.isComplete).toEqual(true);
    expect(await entry.process.exited).toEqual(0);
  });
});
