import {Readable} from 'node:stream';
import {after, afterEach, before, describe, it} from 'node:test';
import {answerPrompt} from '@sardinestile/stand_ins';
import {expect} from 'earl';
import {request} from 'undici';
import {
  callAdmin,
  callChat,
  DEPLOYMENTS,
  entriesOf,
  readState,
  startDeployment,
  waitUntil,
  type ClusterMember,
  type TestCluster,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];
const LONG_ANSWER_TOKENS = 150;
const NO_FAULTS = {isDown: false, delayMs: 0, lostAnswers: 0};

function expectedText(content: string, tokens: number): string {
  const messages = [{role: 'user', content}];
  const response = answerPrompt(JSON.stringify(messages), tokens);
  return Array.from({length: tokens}, (_, i) => response.tokenAt(i)).join('');
}

describe('faults of separate processes', () => {
  const {model, organisation, bookingPath} = DEPLOYMENT;
  let cluster: TestCluster;
  let secret: string;
  let entries: ClusterMember[];
  let suspendedMembers: ClusterMember[] = [];

  before(async () => {
    cluster = await startDeployment(DEPLOYMENT);
    secret = cluster.secrets.get(organisation)!;
    entries = entriesOf(cluster);
  });
  afterEach(() => {
    cluster.platform.setFaults(NO_FAULTS);
    suspendedMembers.forEach(member => member.process.kill('SIGCONT'));
    suspendedMembers = [];
  });
  after(() => cluster.stop());

  const agentOfEngine = (engineIndex: number) =>
    cluster.members.find(m => m.instance.id === `engine-agent-${engineIndex}`)!;
  const startLongCall = (content: string, onText?: () => void) =>
    callChat({
      address: entries[0].process.address,
      secret,
      model,
      content,
      maxTokens: LONG_ANSWER_TOKENS,
      onText,
    });
  const findBusyEngine = () =>
    cluster.engines.findIndex(engine => engine.counts().running > 0);
  const readVersions = async (members: readonly ClusterMember[]) => {
    const states = await Promise.all(
      members.map(({process}) => readState(process.opsAddress)),
    );
    return states.map(state => state.configVersion);
  };

  describe('an agent that stops during a stream', () => {
    for (const signal of ['SIGSTOP', 'SIGKILL'] as const) {
      it(`after ${signal}, the stream resumes without missing or repeated text`, async () => {
        // The stream needs a second agent to resume on.
        await waitUntilSessionsAreOpen();
        const content = `resume ${signal}`;
        let textCount = 0;
        const call = startLongCall(content, () => textCount++);
        await waitUntil(() => textCount > 10);
        const agent = agentOfEngine(findBusyEngine());
        suspendedMembers.push(agent);
        agent.process.kill(signal);
        const response = await call;
        expect(response.isComplete).toEqual(true);
        expect(response.text).toEqual(
          expectedText(content, LONG_ANSWER_TOKENS),
        );
        if (signal !== 'SIGKILL') return;
        await restartEngineAgent(agent);
      });
    }
  });

  /** Starts a new agent with the id and the engine of one that was killed. */
  async function restartEngineAgent(agent: ClusterMember) {
    const index = Number(agent.instance.id.slice(-1));
    cluster.platform.state.instances.delete(agent.instance.id);
    cluster.members.splice(cluster.members.indexOf(agent), 1);
    await cluster.startAgent({
      id: agent.instance.id,
      zone: agent.instance.availabilityZone,
      service: DEPLOYMENT.engineService,
      kind: 'engine',
      upstreamPort: cluster.engines[index].port,
    });
    await waitUntilSessionsAreOpen();
  }

  const waitUntilSessionsAreOpen = () =>
    waitUntil(async () => {
      const states = await Promise.all(
        entries.map(({process}) => readState(process.opsAddress)),
      );
      return states.every(({sessions}) => sessions.every(s => s.isOpen));
    });

  it('cancels the request at the engine when the caller disconnects', async () => {
    const abortController = new AbortController();
    const countCancelled = () =>
      cluster.engines.reduce((sum, e) => sum + e.counts().cancelled, 0);
    const cancelledBefore = countCancelled();
    const call = callChat({
      address: entries[0].process.address,
      secret,
      model,
      content: 'leave',
      maxTokens: LONG_ANSWER_TOKENS,
      signal: abortController.signal,
      onText: () => abortController.abort(),
    });
    await call.catch(() => {});
    await waitUntil(() => countCancelled() > cancelledBefore);
  });

  it('reports an unknown outcome when an agent fails during a booking', async () => {
    const [plain] = cluster.plainServices;
    const agent = cluster.members.find(m => m.instance.id === 'plain-agent-0')!;
    const callsBefore = plain.calls().length;
    plain.setDelayMs(60_000);
    const call = request(`http://${entries[0].process.address}${bookingPath}`, {
      method: 'POST',
      headers: {authorization: `Bearer ${secret}`},
      body: '{}',
    });
    await waitUntil(() => plain.calls().length > callsBefore);
    suspendedMembers.push(agent);
    agent.process.kill('SIGSTOP');
    const response = await call;
    const {error} = (await response.body.json()) as {
      error: {code: string; outcome: string};
    };
    expect(error).toLooseEqual({
      ...error,
      code: 'upstream_failed',
      outcome: 'unknown_outcome',
    });
    expect(plain.calls().length).toEqual(callsBefore + 1);
    plain.setDelayMs(0);
  });

  describe('API keys', () => {
    it('ends a running stream when its key is revoked', async () => {
      const [first, second] = entries.map(({process}) => process);
      const body = JSON.stringify({organisation});
      const granted = JSON.parse(
        (await callAdmin(first.opsAddress, 'POST', '/admin/v1/keys', body))
          .text,
      ) as {keyId: string; secret: string; version: number};
      await waitUntil(async () =>
        (await readVersions(cluster.members)).every(v => v >= granted.version),
      );
      let textCount = 0;
      const call = callChat({
        address: second.address,
        secret: granted.secret,
        model,
        content: 'withdrawn',
        maxTokens: 5_000,
        onText: () => textCount++,
      });
      await waitUntil(() => textCount > 3);
      const path = `/admin/v1/keys/${granted.keyId}`;
      await callAdmin(first.opsAddress, 'DELETE', path);
      const response = await call;
      expect(response.isComplete).toEqual(false);
      expect(response.errorCode).toEqual('key_withdrawn');
      const refused = await callChat({
        address: second.address,
        secret: granted.secret,
        model,
        content: 'again',
      });
      expect(refused.status).toEqual(401);
      expect(refused.outcome).toEqual('not_run');
    });
  });

  it('rejects a key that is revoked while the request body is sent', async () => {
    const {address, opsAddress} = entries[0].process;
    const grant = await callAdmin(
      opsAddress,
      'POST',
      '/admin/v1/keys',
      JSON.stringify({organisation}),
    );
    const granted = JSON.parse(grant.text) as {keyId: string; secret: string};
    const messages = [{role: 'user', content: 'late body'}];
    const json = JSON.stringify({model, messages});
    async function* sendSlowly() {
      yield json.slice(0, 10);
      const path = `/admin/v1/keys/${granted.keyId}`;
      await callAdmin(opsAddress, 'DELETE', path);
      yield json.slice(10);
    }
    const response = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${granted.secret}`},
      body: Readable.from(sendSlowly()),
    });
    expect(response.statusCode).toEqual(401);
    const body = (await response.body.json()) as {error: {outcome: string}};
    expect(body.error.outcome).toEqual('not_run');
  });

  describe('the service text', () => {
    it('accepts one of two concurrent edits and names the new version to the other operator', async () => {
      const [first, second] = entries.map(({process}) => process.opsAddress);
      const current = await callAdmin(first, 'GET', '/admin/v1/text');
      const edit = (note: string) => `${current.text}# ${note}\n`;
      const responses = await Promise.all([
        callAdmin(first, 'PUT', '/admin/v1/text', edit('one'), current.etag),
        callAdmin(second, 'PUT', '/admin/v1/text', edit('two'), current.etag),
      ]);
      const statuses = responses.map(response => response.status).sort();
      expect(statuses).toEqual([200, 412]);
      const accepted = responses.find(response => response.status === 200)!;
      const rejected = responses.find(response => response.status === 412)!;
      const {version} = JSON.parse(accepted.text) as {version: number};
      expect(rejected.text).toMatchRegex(new RegExp(`version ${version} `));
      await waitUntil(async () =>
        (await readVersions(cluster.members)).every(v => v >= version),
      );
    });

    it('changes nothing when the text is invalid', async () => {
      const {opsAddress} = entries[0].process;
      const previous = await callAdmin(opsAddress, 'GET', '/admin/v1/text');
      const refused = await callAdmin(
        opsAddress,
        'PUT',
        '/admin/v1/text',
        'services: 7\nroutes: []\n',
        previous.etag,
      );
      expect(refused.status).toEqual(422);
      const current = await callAdmin(opsAddress, 'GET', '/admin/v1/text');
      expect(current).toEqual(previous);
    });
  });

  describe('an outage of the store', () => {
    it('serves engine requests, but refuses changes and bookings with an idempotency key', async () => {
      cluster.platform.setFaults({isDown: true});
      const {address, opsAddress} = entries[0].process;
      const response = await callChat({
        address,
        secret,
        model,
        content: 'down',
      });
      expect(response.isComplete).toEqual(true);
      const body = JSON.stringify({organisation});
      const grant = await callAdmin(opsAddress, 'POST', '/admin/v1/keys', body);
      expect(grant.status).toEqual(503);
      const booking = await request(`http://${address}${bookingPath}`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${secret}`,
          'idempotency-key': 'during-outage',
        },
        body: '{}',
      });
      expect(booking.statusCode).toEqual(503);
      const {error} = (await booking.body.json()) as {
        error: {code: string; outcome: string};
      };
      expect(error.code).toEqual('store_unavailable');
      expect(error.outcome).toEqual('not_run');
    });

    it('applies a change once when the response of the store was lost', async () => {
      cluster.platform.setFaults({lostAnswers: 1});
      const {opsAddress} = entries[0].process;
      const body = JSON.stringify({organisation});
      const grant = await callAdmin(opsAddress, 'POST', '/admin/v1/keys', body);
      expect(grant.status).toEqual(201);
      const {keyId} = JSON.parse(grant.text) as {keyId: string};
      const list = await callAdmin(opsAddress, 'GET', '/admin/v1/keys');
      expect(list.text.split(keyId).length).toEqual(2);
    });
  });

  describe('invalid requests', () => {
    const cases = [
      {name: 'no JSON', body: '{', status: 400, code: 'invalid_json'},
      {
        name: 'no model',
        body: '{"messages": []}',
        status: 400,
        code: 'invalid_request',
      },
      {
        name: 'an unknown model',
        body: '{"model": "m", "messages": [{"role": "user"}]}',
        status: 404,
        code: 'unknown_model',
      },
      {
        name: 'a body over the limit',
        body: 'x'.repeat(4_000_001),
        status: 413,
        code: 'body_too_large',
      },
      {
        name: 'an unknown key',
        body: '{}',
        key: 'sk-unknown',
        status: 401,
        code: 'invalid_key',
      },
    ];
    for (const {name, body, key, status, code} of cases) {
      it(`are rejected with a specific error code: ${name}`, async () => {
        const {address} = entries[0].process;
        const response = await request(
          `http://${address}/v1/chat/completions`,
          {
            method: 'POST',
            headers: {authorization: `Bearer ${key ?? secret}`},
            body,
          },
        );
        const {error} = (await response.body.json()) as {
          error: {code: string; outcome: string};
        };
        expect(response.statusCode).toEqual(status);
        expect(error.code).toEqual(code);
        expect(error.outcome).toEqual('not_run');
      });
    }
  });
});
