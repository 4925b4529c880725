import {after, afterEach, before, describe, it} from 'node:test';
import {eventIds, numbersBelow, ROUTE_PATHS} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {SOAK_BOUNDS, THROW_SIGNAL} from '../src/gateway_process.js';
import {
  createSingleGateway,
  STREAM_EVENTS,
  type SingleGateway,
} from '../src/single_gateway.js';

const FAILED_EXIT = {code: 1, signal: null};
const ORDERLY_EXIT = {code: 0, signal: null};

describe('a gateway process with an error that nothing catches', () => {
  let single: SingleGateway;
  let callCount = 0;
  before(async () => {
    single = await createSingleGateway();
  });
  afterEach(() => single.process.stop());
  after(() => single.close());

  const startReady = async () => {
    single.start();
    await single.waitUntilReady();
  };
  const startStreams = async (count: number) => {
    const calls = numbersBelow(count).map(() =>
      single.startCall(ROUTE_PATHS.stream, `u${++callCount}`),
    );
    const started = await Promise.all(calls);
    return started.map(({response}) => response);
  };
  const expectWhole = async (
    streams: Awaited<ReturnType<typeof startStreams>>,
  ) => {
    for (const response of await Promise.all(streams)) {
      expect(eventIds(response)).toEqual(numbersBelow(STREAM_EVENTS));
      expect(response.isComplete).toEqual(true);
    }
  };

  for (const {origin, signal} of [
    {origin: 'uncaughtException', signal: THROW_SIGNAL},
    {origin: 'unhandledRejection', signal: 'SIGURG'},
  ] as const) {
    it(`finishes its open streams and exits with code 1 after an ${origin}`, async () => {
      await startReady();
      const streams = await startStreams(3);
      single.process.signal(signal);
      await single.waitForLine('event=process_stopping');
      expect(await single.isReady()).toEqual(false);
      await expectWhole(streams);
      await single.waitForExit();
      expect(single.process.exits[0]).toEqual(FAILED_EXIT);
      const log = single.readLog();
      expect(log).toInclude(
        `event=uncaught_error origin=${origin} effect=stop`,
      );
      expect(log).toInclude(`event=process_ended cause=${origin}`);
    });
  }

  it('finishes its open streams when further exceptions follow', async () => {
    await startReady();
    const streams = await startStreams(3);
    for (let i = 0; i < 20; i++) {
      single.process.signal(THROW_SIGNAL);
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    await expectWhole(streams);
    await single.waitForExit();
    expect(single.process.exits[0]).toEqual(FAILED_EXIT);
    expect(single.readLog()).toInclude('effect=none');
  });

  it('goes on with its drain when the exception comes after SIGTERM', async () => {
    await startReady();
    const streams = await startStreams(3);
    single.process.signal('SIGTERM');
    await single.waitForLine('event=process_stopping');
    single.process.signal(THROW_SIGNAL);
    await expectWhole(streams);
    await single.waitForExit();
    expect(single.process.exits[0]).toEqual(ORDERLY_EXIT);
    expect(single.readLog()).toInclude('effect=none');
  });

  it('goes on with its drain when SIGTERM comes after the exception', async () => {
    await startReady();
    const streams = await startStreams(3);
    single.process.signal(THROW_SIGNAL);
    await single.waitForLine('event=process_stopping');
    single.process.signal('SIGTERM');
    single.process.signal('SIGTERM');
    await expectWhole(streams);
    await single.waitForExit();
    expect(single.process.exits[0]).toEqual(FAILED_EXIT);
  });

  it('ends within its grace period though no upstream answers', async () => {
    for (const upstream of single.cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'silent'});
    }
    await startReady();
    const {response} = await single.startCall(ROUTE_PATHS.once, 'silent');
    const startMs = performance.now();
    single.process.signal(THROW_SIGNAL);
    expect((await response).isComplete).toEqual(true);
    await single.waitForExit();
    expect(single.process.exits[0]).toEqual(FAILED_EXIT);
    expect(performance.now() - startMs).toBeLessThan(
      SOAK_BOUNDS.grace_s * 1_000,
    );
  });

  it('fails its start with the reason if the error comes while it starts', async () => {
    single.start({THROW_WHILE_STARTING: '1'});
    await single.waitForExit();
    expect(single.process.exits[0]).toEqual(FAILED_EXIT);
    const log = single.readLog();
    expect(log).toInclude('effect=failStart');
    expect(log).toInclude('event=process_ended cause=startFailed');
    expect(log).toInclude('thrown in a timer');
  });
});
