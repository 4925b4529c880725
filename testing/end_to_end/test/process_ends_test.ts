import {after, afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  callChat,
  DEPLOYMENTS,
  entriesOf,
  startDeployment,
  startProcess,
  waitUntil,
  type TestCluster,
  type TestProcess,
} from '../src/index.js';

const DEPLOYMENT = DEPLOYMENTS[1];
const LONG_ANSWER_TOKENS = 150;

const THROW_ON_SIGNAL_MODULE = new URL(
  '../../soak/src/throw_on_signal.mjs',
  import.meta.url,
).href;

const SIGNAL_WHILE_LOADING_MODULE = new URL(
  '../../soak/src/signal_while_loading.mjs',
  import.meta.url,
).href;

const THROWING = {NODE_OPTIONS: `--import=${THROW_ON_SIGNAL_MODULE}`};

/** Exceeds each module that handles signals, and none of the libraries. */
const MIN_MODULE_BYTES = 20_000;

describe('an entry and its agents', () => {
  let cluster: TestCluster;
  beforeEach(async () => {
    cluster = await startDeployment(DEPLOYMENT, {environment: THROWING});
  });
  afterEach(() => cluster.stop());

  /** Starts a long stream; resolves when its first tokens have arrived. */
  const startStream = async () => {
    let textCount = 0;
    const response = callChat({
      address: entriesOf(cluster)[0].process.address,
      secret: cluster.secrets.get(DEPLOYMENT.organisation)!,
      model: DEPLOYMENT.model,
      content: 'long',
      maxTokens: LONG_ANSWER_TOKENS,
      onText: () => textCount++,
    });
    await waitUntil(() => textCount > 10);
    return {response};
  };
  const processOf = (role: 'entry' | 'agent'): TestProcess => {
    if (role === 'entry') return entriesOf(cluster)[0].process;
    const index = cluster.engines.findIndex(
      engine => engine.counts().running > 0,
    );
    return cluster.members.find(
      ({instance}) => instance.id === `engine-agent-${index}`,
    )!.process;
  };

  for (const role of ['entry', 'agent'] as const) {
    it(`finish a stream after exceptions that nothing catches in the ${role}, which exits with code 1`, async () => {
      const {response} = await startStream();
      const failing = processOf(role);
      failing.kill('SIGWINCH');
      await waitUntil(() =>
        failing.lines.some(line => line.includes('event=process_stopping')),
      );
      failing.kill('SIGWINCH');
      expect((await response).isComplete).toEqual(true);
      expect(await failing.exited).toEqual(1);
      const log = failing.lines.join('\n');
      expect(log).toInclude('event=uncaught_error');
      expect(log).toInclude('event=process_ended cause=uncaughtException');
    });

    it(`finish a stream and stop in order when nobody reads the output of the ${role}`, async () => {
      const {response} = await startStream();
      const unread = processOf(role);
      unread.closeOutput();
      expect((await response).isComplete).toEqual(true);
      const next = await startStream();
      expect((await next.response).isComplete).toEqual(true);
      unread.kill('SIGTERM');
      expect(await unread.exited).toEqual(0);
    });
  }
});

describe('sardinestile dev', () => {
  const processes: TestProcess[] = [];
  after(() => processes.forEach(({kill}) => kill('SIGKILL')));
  const startDev = async (environment?: NodeJS.ProcessEnv) => {
    const dev = await startProcess(
      ['dev', '--port=0', '--ops-port=0'],
      environment,
    );
    processes.push(dev);
    await waitUntil(() => dev.lines.some(line => line.startsWith('Ready.')));
    return dev;
  };

  it('exits with code 1 after a rejection that nothing handles', async () => {
    const dev = await startDev(THROWING);
    dev.kill('SIGURG');
    expect(await dev.exited).toEqual(1);
    expect(dev.lines.join('\n')).toInclude('event=process_stopped');
  });

  it('stops in order when nobody reads its output', async () => {
    const dev = await startDev();
    dev.closeOutput();
    dev.kill('SIGTERM');
    expect(await dev.exited).toEqual(0);
  });
});

describe('a signal while the modules are loaded', () => {
  for (const command of ['entry', 'agent', 'dev']) {
    it(`ends ${command} in order`, async () => {
      const started = startProcess([command], {
        NODE_OPTIONS: `--import=${SIGNAL_WHILE_LOADING_MODULE}`,
        SIGNAL_WHILE_LOADING: 'SIGTERM',
        MIN_MODULE_BYTES: String(MIN_MODULE_BYTES),
        SARDINESTILE_INSTANCE: 'loading',
        SARDINESTILE_AVAILABILITY_ZONE: 'a',
        SARDINESTILE_ADMIN_KEY: 'test',
        SARDINESTILE_PLATFORM_URL: 'http://127.0.0.1:1',
        SARDINESTILE_SERVICE: 'none',
        SARDINESTILE_UPSTREAM_KIND: 'plain',
        SARDINESTILE_UPSTREAM_URL: 'http://127.0.0.1:1',
      });
      await expect(started).toBeRejectedWith('exited with 0');
    });
  }
});
