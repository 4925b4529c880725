import {after, before, describe, it} from 'node:test';
import {answerPrompt} from '@sardinestile/stand_ins';
import {expect} from 'earl';
import {request} from 'undici';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  type TestCluster,
} from '../src/index.js';

describe('the whole system as separate processes', () => {
  for (const deployment of DEPLOYMENTS) {
    describe(deployment.name, () => {
      const {model, organisation, bookingPath} = deployment;
      let cluster: TestCluster;
      let secret: string;

      before(async () => {
        cluster = await startDeployment(deployment);
        secret = cluster.secrets.get(organisation)!;
      });
      after(() => cluster.stop());

      for (const isStreamed of [true, false]) {
        it(`serves a ${isStreamed ? 'streamed' : 'whole'} response through each entry`, async () => {
          const content = `question ${isStreamed}`;
          const messages = [{role: 'user', content}];
          const expected = answerPrompt(JSON.stringify(messages));
          for (const {process} of entriesOf(cluster)) {
            const response = await callChat({
              address: process.address,
              secret,
              model,
              content,
              isStreamed,
            });
            expect(response.isComplete).toEqual(true);
            expect(response.text).toEqual(
              Array.from({length: expected.tokenCount}, (_, index) =>
                expected.tokenAt(index),
              ).join(''),
            );
          }
        });
      }

      it('books once for an idempotency key used at both entries', async () => {
        const [plain] = cluster.plainServices;
        const callsBefore = plain.calls().length;
        const bodies: string[] = [];
        for (const {process} of entriesOf(cluster)) {
          const response = await request(
            `http://${process.address}${bookingPath}`,
            {
              method: 'POST',
              headers: {
                authorization: `Bearer ${secret}`,
                'idempotency-key': 'booking-1',
              },
              body: '{"door": 7}',
            },
          );
          expect(response.statusCode).toEqual(200);
          bodies.push(await response.body.text());
        }
        expect(plain.calls().length).toEqual(callsBefore + 1);
        expect(bodies[0]).toEqual(bodies[1]);
      });

      it("does not send the caller's key to upstreams", () => {
        const seen = cluster.plainServices.flatMap(service => service.calls());
        expect(
          seen.some(call => JSON.stringify(call).includes(secret)),
        ).toEqual(false);
        for (const engine of cluster.engines) {
          expect(engine.counts().headerNames).not.toInclude('authorization');
        }
      });

      it('completes every request while an entry and an agent are replaced', async () => {
        const [leavingEntry, stayingEntry] = entriesOf(cluster);
        const leavingAgent = cluster.members.find(
          m => m.instance.id === 'engine-agent-0',
        )!;
        await cluster.startEntry('entry-2', deployment.zones[2]);
        await cluster.startAgent({
          id: 'engine-agent-2',
          zone: deployment.zones[0],
          service: deployment.engineService,
          kind: 'engine',
          upstreamPort: cluster.engines[0].port,
        });
        const pending: Array<Promise<{isComplete: boolean}>> = [];
        const send = (address: string, count: number) => {
          for (let index = 0; index < count; index++) {
            const content = `during replacement ${address} ${index}`;
            pending.push(callChat({address, secret, model, content}));
          }
        };
        send(leavingEntry.process.address, 6);
        send(stayingEntry.process.address, 6);
        const replaced = Promise.all([
          cluster.remove(leavingEntry),
          cluster.remove(leavingAgent),
        ]);
        send(stayingEntry.process.address, 6);
        const responses = await Promise.all(pending);
        expect(responses.filter(response => !response.isComplete)).toEqual([]);
        await replaced;
        expect(await leavingEntry.process.exited).toEqual(0);
        expect(await leavingAgent.process.exited).toEqual(0);
      });
    });
  }
});
