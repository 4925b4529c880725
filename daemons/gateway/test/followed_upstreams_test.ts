import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createUpstreamFleet, type UpstreamRecord} from '@sardinestile/fleet';
import type {LivePeer} from '@sardinestile/ledger';
import {createLogger} from '@sardinestile/logger';
import type {FeedPage, RecordFeed} from '@sardinestile/ports';
import {createRecordLog, type RecordLog} from '@sardinestile/shared_feed';
import {createSystemClock} from '@sardinestile/types';
import {expect} from 'earl';
import {followFeed, type FollowedFeed} from '../src/shared/follow_feed.js';
import {createSharedUpstreams} from '../src/shared/shared_upstreams.js';

/** Interval of the calls of a run: the time for a change between two of them, in milliseconds. */
const CALL_INTERVAL_MS = 100;

const clock = createSystemClock();
const logger = createLogger({level: 'error', write: () => undefined});

/** Peers of which the instance `follower` follows one. */
const PEERS = Array.from({length: 20}, (_, i) => ({
  instance: `peer-${i}`,
  address: {host: '127.0.0.1', port: i},
  isStopping: false,
})) as unknown as LivePeer[];

const upstream = (isLeaving: boolean) =>
  ({
    id: 'i-1',
    address: '127.0.0.1:1',
    service: 'pool',
    isLeaving,
  }) as UpstreamRecord;

describe(
  'upstreams that a gateway follows at a peer',
  {timeout: 10_000},
  () => {
    let log: RecordLog<UpstreamRecord>;
    let followed: FollowedFeed;
    let isLeaving: boolean | undefined;
    let pages = 0;
    let failures = 0;
    let failNextPage = false;
    beforeEach(() => {
      isLeaving = undefined;
      pages = 0;
      failures = 0;
      failNextPage = false;
      log = createRecordLog({
        keyOf: ({id}) => id,
        isSame: (one, other) => one.isLeaving === other.isLeaving,
      });
      log.update({records: [upstream(false)], version: 1, hasLapsed: false});
      const store: RecordFeed<UpstreamRecord> = {
        readAll: () => Promise.reject(new Error('not used')),
        waitForChanges: () => Promise.reject(new Error('not used')),
      };
      const {feed} = createSharedUpstreams({
        instance: 'follower',
        store,
        membership: createUpstreamFleet({
          traitsOf: () => undefined,
          shortestTargetGapMs: () => Infinity,
        }).membership,
        peers: () => PEERS,
        fetchFromPeer: async (_address, since, waitMs) => ({
          ...(await log.waitForChanges(since, waitMs)),
          changed: [...log.changesSince(since).changed],
          removedKeys: [],
          ageMs: 0,
        }),
        drainLimitMs: 2_000,
        clock,
        logger,
      });
      followed = followFeed({
        feed,
        clock,
        waitMs: 1_000,
        minIntervalMs: () => CALL_INTERVAL_MS,
        observer: {
          onPage({entries}: FeedPage<UpstreamRecord>) {
            pages++;
            if (failNextPage) {
              failNextPage = false;
              throw new Error('not applied');
            }
            isLeaving = entries[0].value?.isLeaving;
          },
          onUpToDate: () => undefined,
          onFailure: () => failures++,
          onRecovered: () => undefined,
        },
      });
    });
    afterEach(() => {
      followed.stop();
      log.close();
    });
    const markLeaving = () =>
      log.update({records: [upstream(true)], version: 2, hasLapsed: false});

    // Guards against requests to a draining upstream after the settings of a gateway have changed.
    it('change for a run that has replaced another one, whose call gets the change first', async () => {
      await sleep(CALL_INTERVAL_MS + 50);
      expect(isLeaving).toEqual(false);
      // The call of the first run waits at the peer now.
      followed.restart();
      await sleep(CALL_INTERVAL_MS / 2);
      expect(pages).toEqual(2);
      // The second run has read all, and waits before its next call.
      markLeaving();
      await sleep(3 * CALL_INTERVAL_MS);
      expect(isLeaving).toEqual(true);
      expect(failures).toEqual(0);
    });

    it('are applied again if that failed once', async () => {
      await sleep(CALL_INTERVAL_MS + 50);
      failNextPage = true;
      markLeaving();
      await sleep(4 * CALL_INTERVAL_MS);
      expect(failures).toEqual(1);
      expect(isLeaving).toEqual(true);
    });
  },
);

describe('a feed that is restarted while a page is applied', () => {
  it('is read as a whole, also if the first read fails', async () => {
    const calls: string[] = [];
    const feed: RecordFeed<string> = {
      async readAll() {
        calls.push('readAll');
        if (calls.length === 2) throw new Error('not read');
        return {entries: [], version: 1};
      },
      async waitForChanges(version, waitMs) {
        calls.push('waitForChanges');
        await sleep(waitMs);
        return {kind: 'changes', page: {entries: [], version}};
      },
    };
    const followed = followFeed({
      feed,
      clock,
      waitMs: 1_000,
      observer: {
        onPage() {
          if (calls.length === 1) followed.restart();
        },
        onUpToDate: () => undefined,
        onFailure: () => undefined,
        onRecovered: () => undefined,
      },
    });
    await sleep(300);
    followed.stop();
    expect(calls).toEqual(['readAll', 'readAll', 'readAll', 'waitForChanges']);
  });
});
