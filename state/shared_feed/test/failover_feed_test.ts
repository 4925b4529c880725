import {describe, it} from 'node:test';
import type {FeedChanges, FeedPage, RecordFeed} from '@sardinestile/ports';
import {expect} from 'earl';
import {createFailoverFeed, type FeedCopy} from '../src/index.js';

const ORIGIN_TIME_MS = 5_000;

/** A feed whose only record is its name. */
function createNamedFeed(name: string) {
  const state = {isDown: false, calls: 0};
  const page = (): FeedPage<string> => {
    state.calls++;
    if (state.isDown) throw new Error(`${name} is down`);
    return {entries: [{key: name, value: name, findings: []}], version: 1};
  };
  const feed: RecordFeed<string> = {
    readAll: async () => page(),
    waitForChanges: async () => ({kind: 'changes', page: page()}),
  };
  return {feed, state};
}

function createTestFeed() {
  const origin = createNamedFeed('origin');
  const copy = createNamedFeed('copy');
  const failures: string[] = [];
  const sources: string[] = [];
  const state = {
    nowMs: 0,
    copy: {name: 'copy', feed: copy.feed} as FeedCopy<string> | undefined,
  };
  const feed = createFailoverFeed({
    origin: origin.feed,
    chooseCopy: () => state.copy,
    originTimeMs: ORIGIN_TIME_MS,
    clock: {monotonicMs: () => state.nowMs, wallMs: () => state.nowMs},
    onCopyFailed: name => failures.push(name),
    onSourceChanged: name => sources.push(name ?? 'origin'),
  });
  return {feed, origin, copy, failures, sources, state};
}

const keysOf = ({entries}: FeedPage<string>) => entries.map(({key}) => key);
const kindOf = ({kind}: FeedChanges<string>) => kind;

describe('createFailoverFeed', () => {
  it('follows the copy and leaves the origin alone', async () => {
    const {feed, origin} = createTestFeed();
    expect(keysOf(await feed.readAll())).toEqual(['copy']);
    expect(kindOf(await feed.waitForChanges(1, 10))).toEqual('changes');
    expect(origin.state.calls).toEqual(0);
    expect(feed.isAtOrigin).toEqual(false);
  });

  it('reads everything from the origin once the copy fails', async () => {
    const {feed, copy, failures, sources} = createTestFeed();
    await feed.readAll();
    copy.state.isDown = true;
    expect(kindOf(await feed.waitForChanges(1, 10))).toEqual('historyLost');
    expect(keysOf(await feed.readAll())).toEqual(['origin']);
    expect(feed.isAtOrigin).toEqual(true);
    expect(failures).toEqual(['copy']);
    expect(sources).toEqual(['copy', 'origin']);
  });

  it('reads the origin in the same call where the copy fails at first', async () => {
    const {feed, copy} = createTestFeed();
    copy.state.isDown = true;
    expect(keysOf(await feed.readAll())).toEqual(['origin']);
  });

  it('goes back to a copy after some time, by reading everything', async () => {
    const {feed, copy, state} = createTestFeed();
    copy.state.isDown = true;
    await feed.readAll();
    copy.state.isDown = false;
    state.nowMs = ORIGIN_TIME_MS - 1;
    expect(kindOf(await feed.waitForChanges(1, 10))).toEqual('changes');
    state.nowMs = ORIGIN_TIME_MS;
    expect(kindOf(await feed.waitForChanges(1, 10))).toEqual('historyLost');
    expect(keysOf(await feed.readAll())).toEqual(['copy']);
  });

  it('passes on that the origin fails', async () => {
    const {feed, origin, state} = createTestFeed();
    state.copy = undefined;
    await feed.readAll();
    origin.state.isDown = true;
    await expect(feed.waitForChanges(1, 10)).toBeRejectedWith('origin is down');
  });
});
