import {after, afterEach, before, describe, it} from 'node:test';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {eventIds, numbersBelow, ROUTE_PATHS} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {
  createSingleGateway,
  STREAM_EVENTS,
  type SingleGateway,
} from '../src/single_gateway.js';

const SIGNAL_WHILE_STARTING_MODULE = new URL(
  '../src/signal_while_starting.mjs',
  import.meta.url,
).href;

const SIGNAL_WHILE_LOADING_MODULE = new URL(
  '../src/signal_while_loading.mjs',
  import.meta.url,
).href;

/** Less than the code of the gateway, more than what handles signals. */
const MIN_MODULE_BYTES = 100_000;

const ORDERLY_EXIT = {code: 0, signal: null};

describe('a gateway process that gets signals', () => {
  let single: SingleGateway;
  before(async () => {
    single = await createSingleGateway();
  });
  afterEach(() => single.process.stop());
  after(() => single.close());

  const startWithSignal = (signal: NodeJS.Signals) =>
    single.start({
      NODE_OPTIONS: `--import=${SIGNAL_WHILE_STARTING_MODULE}`,
      SIGNAL_WHILE_STARTING: signal,
    });
  const loadWithSignal = (signal: NodeJS.Signals) =>
    single.start({
      NODE_OPTIONS: `--import=${SIGNAL_WHILE_LOADING_MODULE}`,
      SIGNAL_WHILE_LOADING: signal,
      MIN_MODULE_BYTES: String(MIN_MODULE_BYTES),
    });

  describe('while it drains', () => {
    it('finishes a stream when SIGTERM comes twice', async () => {
      single.start();
      await single.waitUntilReady();
      const {response: stream} = await single.startCall(
        ROUTE_PATHS.stream,
        's1',
      );
      await single.waitForLine('requestId=s1');
      single.process.signal('SIGTERM');
      await single.waitForLine('event=process_stopping');
      single.process.signal('SIGTERM');
      const response = await stream;
      expect(eventIds(response)).toEqual(numbersBelow(STREAM_EVENTS));
      expect(response.isComplete).toEqual(true);
      await single.waitForExit();
      expect(single.process.exits[0]).toEqual(ORDERLY_EXIT);
    });

    it('serves its open requests when SIGHUP comes after a change of the settings', async () => {
      single.start();
      await single.waitUntilReady();
      const {response: stream} = await single.startCall(
        ROUTE_PATHS.stream,
        's2',
      );
      await single.waitForLine('requestId=s2');
      single.process.signal('SIGTERM');
      await single.waitForLine('event=process_stopping');
      single.process.rewriteSettings();
      single.process.signal('SIGHUP');
      await single.waitForLine('signal=SIGHUP');
      const response = await stream;
      expect(eventIds(response)).toEqual(numbersBelow(STREAM_EVENTS));
      expect(response.isComplete).toEqual(true);
      await single.waitForExit();
      expect(single.process.exits[0]).toEqual(ORDERLY_EXIT);
      const log = single.readLog();
      expect(log.includes('event=settings_reloaded')).toEqual(false);
    });

    it('stores the usage of its last request when the store moves', async () => {
      single.start();
      await single.waitUntilReady();
      const {response: call} = await single.startCall(ROUTE_PATHS.once, 'o1');
      await single.waitForLine('requestId=o1');
      single.process.signal('SIGTERM');
      await single.waitForLine('event=process_stopping');
      const movedStore = await startStoreListener(single.cluster.store);
      single.process.moveStore(movedStore.port);
      single.store.mode = 'reset';
      expect((await call).status).toEqual(200);
      await single.waitForExit();
      single.store.mode = 'up';
      await movedStore.close();
      const keys = single.cluster.store
        .rows('sardinestile', 'system')
        .map(({key}) => key)
        .filter(key => key.includes(`/${single.process.name}-`));
      expect(keys.length).toEqual(1);
    });
  });

  describe('while its code is loaded', () => {
    it('survives a SIGHUP', async () => {
      loadWithSignal('SIGHUP');
      await single.waitUntilReady();
      await single.waitForLine('effect=reloadOnceStarted');
      expect(single.process.exits).toEqual([]);
    });

    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      it(`ends in order when ${signal} comes`, async () => {
        loadWithSignal(signal);
        await single.waitForExit();
        expect(single.process.exits[0]).toEqual(ORDERLY_EXIT);
      });
    }
  });

  describe('while it starts', () => {
    it('survives a SIGHUP', async () => {
      startWithSignal('SIGHUP');
      await single.waitUntilReady();
      await single.waitForLine('effect=reloadOnceStarted');
      expect(single.process.exits).toEqual([]);
    });

    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      it(`ends in order when ${signal} comes`, async () => {
        startWithSignal(signal);
        await single.waitForExit();
        expect(single.process.exits[0]).toEqual(ORDERLY_EXIT);
        await single.waitForLine('effect=stopOnceStarted');
        await single.waitForLine('event=process_stopped');
      });
    }
  });
});
