import {describe, it} from 'node:test';
import type {FeedChanges, FeedPage, RecordFeed} from '@sardinestile/ports';
import {expect} from 'earl';
import {createFailoverFeed, type FeedReplica} from '../src/index.js';

const ORIGIN_TIME_MS = 5_000;

/** Creates a feed whose only record is its name; `state` sets its version and failure. */
function createNamedFeed(name: string) {
  const state = {isDown: false, calls: 0, version: 1, hasLapsed: false};
  const page = (): FeedPage<string> => {
    state.calls++;
    if (state.isDown) throw new Error(`${name} is down`);
    const {version, hasLapsed: hasRemovedRecords} = state;
    return {
      entries: [{key: name, value: name, findings: []}],
      version,
      bookmark: {epoch: name, position: state.calls, hasRemovedRecords},
    };
  };
  const feed: RecordFeed<string> = {
    readAll: async () => page(),
    waitForChanges: async () => ({kind: 'changes', page: page()}),
  };
  return {feed, state};
}

function createTestFeed() {
  const origin = createNamedFeed('origin');
  const replica = createNamedFeed('copy');
  const failures: string[] = [];
  const sources: string[] = [];
  const state = {nowMs: 0, hasReplica: true};
  const feedReplica: FeedReplica<string> = {
    name: 'copy',
    feed: replica.feed,
  };
  const feed = createFailoverFeed({
    origin: origin.feed,
    chooseReplica: () => (state.hasReplica ? feedReplica : undefined),
    originFallbackMs: ORIGIN_TIME_MS,
    clock: {monotonicMs: () => state.nowMs, wallMs: () => state.nowMs},
    onReplicaFailed: name => failures.push(name),
    onSourceChanged: name => sources.push(name ?? 'origin'),
  });
  return {feed, origin, replica, failures, sources, state};
}

const keysOf = ({entries}: FeedPage<string>) => entries.map(({key}) => key);

/** Returns the name of the feed that the changes came from, or `historyLost`. */
const sourceOf = (changes: FeedChanges<string>) =>
  changes.kind === 'historyLost' ? changes.kind : keysOf(changes.page)[0];

describe('createFailoverFeed', () => {
  it('reads the replica and not the origin', async () => {
    const {feed, origin} = createTestFeed();
    expect(keysOf(await feed.readAll())).toEqual(['copy']);
    expect(sourceOf(await feed.waitForChanges(1, 10))).toEqual('copy');
    expect(origin.state.calls).toEqual(0);
    expect(feed.isReadingOrigin).toEqual(false);
  });

  it('reads the origin in the same call when the replica fails', async () => {
    const {feed, replica, failures, sources} = createTestFeed();
    await feed.readAll();
    replica.state.isDown = true;
    expect(sourceOf(await feed.waitForChanges(1, 10))).toEqual('origin');
    expect(feed.isReadingOrigin).toEqual(true);
    expect(failures).toEqual(['copy']);
    expect(sources).toEqual(['copy', 'origin']);
  });

  it('reads all records again after a replica that contained removed records', async () => {
    const {feed, replica} = createTestFeed();
    replica.state.hasLapsed = true;
    const {bookmark} = await feed.readAll();
    replica.state.isDown = true;
    expect(sourceOf(await feed.waitForChanges(1, 10, bookmark))).toEqual(
      'historyLost',
    );
    expect(keysOf(await feed.readAll())).toEqual(['origin']);
  });

  it('goes by the page that its reader applied, not by one that it dropped', async () => {
    const {feed, replica} = createTestFeed();
    replica.state.hasLapsed = true;
    const {bookmark} = await feed.readAll();
    replica.state.hasLapsed = false;
    replica.state.version = 2;
    await feed.waitForChanges(1, 10, bookmark);
    replica.state.version = 1;
    expect(sourceOf(await feed.waitForChanges(1, 10, bookmark))).toEqual(
      'copy',
    );
    replica.state.isDown = true;
    expect(sourceOf(await feed.waitForChanges(1, 10, bookmark))).toEqual(
      'historyLost',
    );
  });

  it('rejects a replica whose version is older than the last one returned', async () => {
    const {feed, origin, replica, state, failures} = createTestFeed();
    state.hasReplica = false;
    origin.state.version = 7;
    await feed.readAll();
    state.hasReplica = true;
    replica.state.version = 6;
    expect(sourceOf(await feed.waitForChanges(7, 10))).toEqual('origin');
    expect(failures).toEqual(['copy']);
  });

  it('reads the origin in the same call when the replica fails in the first read', async () => {
    const {feed, replica} = createTestFeed();
    replica.state.isDown = true;
    expect(keysOf(await feed.readAll())).toEqual(['origin']);
  });

  it('returns to the replica after the fallback time', async () => {
    const {feed, replica, state} = createTestFeed();
    replica.state.isDown = true;
    await feed.readAll();
    replica.state.isDown = false;
    state.nowMs = ORIGIN_TIME_MS - 1;
    expect(sourceOf(await feed.waitForChanges(1, 10))).toEqual('origin');
    state.nowMs = ORIGIN_TIME_MS;
    expect(sourceOf(await feed.waitForChanges(1, 10))).toEqual('copy');
  });

  it('rejects if the origin fails', async () => {
    const {feed, origin, state} = createTestFeed();
    state.hasReplica = false;
    await feed.readAll();
    origin.state.isDown = true;
    await expect(feed.waitForChanges(1, 10)).toBeRejectedWith('origin is down');
  });
});
