import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createRecordLog,
  type LogChanges,
  type LogPosition,
} from '../src/index.js';

interface Item {
  id: string;
  value: number;
}

function createTestLog() {
  const log = createRecordLog<Item>({
    keyOf: ({id}) => id,
    isSame: (one, other) => one.value === other.value,
  });
  let version = 100;
  return {
    ...log,
    /** Replaces the records at the next version. */
    set(...records: Item[]) {
      log.update({records, version: ++version, hasLapsed: false});
    },
  };
}

/** Returns the position of a reader that has applied the changes. */
function positionAfter({
  epoch,
  position,
  version,
}: LogChanges<Item>): LogPosition {
  return {cursor: {epoch, position}, version};
}

describe('createRecordLog', () => {
  it('returns all records at first, then only changes', () => {
    const log = createTestLog();
    log.set({id: 'a', value: 1}, {id: 'b', value: 1});
    const first = log.changesSince(undefined);
    expect(first.isWhole).toEqual(true);
    expect(first.changed.map(({id}) => id)).toEqual(['a', 'b']);
    log.set({id: 'a', value: 2});
    const next = log.changesSince(positionAfter(first));
    expect(next.isWhole).toEqual(false);
    expect(next.changed).toEqual([{id: 'a', value: 2}]);
    expect(next.removedKeys).toEqual(['b']);
    expect(log.changesSince(positionAfter(next)).changed).toEqual([]);
  });

  it('does not count equal records as changed', () => {
    const log = createTestLog();
    log.set({id: 'a', value: 1});
    const {position} = log.changesSince(undefined);
    log.set({id: 'a', value: 1});
    expect(log.changesSince(undefined).position).toEqual(position);
  });

  it('continues from a version of the origin for a reader of another source', () => {
    const log = createTestLog();
    log.set({id: 'a', value: 1}, {id: 'b', value: 1});
    const {version} = log.changesSince(undefined);
    log.set({id: 'a', value: 2}, {id: 'b', value: 1});
    const changes = log.changesSince({version});
    expect(changes.isWhole).toEqual(false);
    expect(changes.changed).toEqual([{id: 'a', value: 2}]);
    const earlier = log.changesSince({version: version - 1});
    expect(earlier.isWhole).toEqual(true);
  });

  it('uses the version for a reader of the log of an earlier process', () => {
    const earlier = createTestLog();
    earlier.set({id: 'a', value: 1});
    const known = positionAfter(earlier.changesSince(undefined));
    const log = createTestLog();
    log.set({id: 'a', value: 1});
    log.set({id: 'a', value: 3});
    expect(log.changesSince(known).changed).toEqual([{id: 'a', value: 3}]);
  });

  it('returns all records to a reader that is too far behind', () => {
    const log = createTestLog();
    log.set({id: 'a', value: -1});
    const old = positionAfter(log.changesSince(undefined));
    for (let value = 0; value < 3_000; value++) log.set({id: 'a', value});
    expect(log.changesSince(old).isWhole).toEqual(true);
  });

  it('ends a wait at the next change', async () => {
    const log = createTestLog();
    log.set({id: 'a', value: 1});
    const known = positionAfter(log.changesSince(undefined));
    const waiting = log.waitForChanges(known, 60_000);
    log.set({id: 'a', value: 2});
    expect((await waiting).changed).toEqual([{id: 'a', value: 2}]);
  });

  it('makes a reader with a newer version wait until the log has caught up', async () => {
    const log = createTestLog();
    log.set({id: 'a', value: 1});
    const {version} = log.changesSince(undefined);
    const waiting = log.waitForChanges({version: version + 1}, 60_000);
    log.set({id: 'a', value: 2});
    log.set({id: 'a', value: 3});
    expect((await waiting).changed).toEqual([{id: 'a', value: 3}]);
  });

  it('returns no changes when the wait times out or the log is closed', async () => {
    const log = createTestLog();
    log.set({id: 'a', value: 1});
    const known = positionAfter(log.changesSince(undefined));
    expect((await log.waitForChanges(known, 1)).changed).toEqual([]);
    const waiting = log.waitForChanges(known, 60_000);
    log.close();
    expect((await waiting).changed).toEqual([]);
  });
});
