import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createRecordLog} from '../src/index.js';

interface Item {
  id: string;
  value: number;
}

function createTestLog() {
  return createRecordLog<Item>({
    keyOf: ({id}) => id,
    isSame: (one, other) => one.value === other.value,
  });
}

describe('createRecordLog', () => {
  it('hands out everything at first, then what changed', () => {
    const log = createTestLog();
    log.update([
      {id: 'a', value: 1},
      {id: 'b', value: 1},
    ]);
    const first = log.changesSince(undefined);
    expect(first.isWhole).toEqual(true);
    expect(first.changed.map(({id}) => id)).toEqual(['a', 'b']);
    log.update([{id: 'a', value: 2}]);
    const next = log.changesSince(first);
    expect(next.isWhole).toEqual(false);
    expect(next.changed).toEqual([{id: 'a', value: 2}]);
    expect(next.removedKeys).toEqual(['b']);
    expect(log.changesSince(next).changed).toEqual([]);
  });

  it('takes records that are the same for no change', () => {
    const log = createTestLog();
    log.update([{id: 'a', value: 1}]);
    const {position} = log.changesSince(undefined);
    log.update([{id: 'a', value: 1}]);
    expect(log.changesSince(undefined).position).toEqual(position);
  });

  it('hands out everything to who knows the log of an earlier process', () => {
    const earlier = createTestLog();
    earlier.update([{id: 'a', value: 1}]);
    const log = createTestLog();
    log.update([{id: 'b', value: 1}]);
    const changes = log.changesSince(earlier.changesSince(undefined));
    expect(changes.isWhole).toEqual(true);
    expect(changes.changed).toEqual([{id: 'b', value: 1}]);
  });

  it('hands out everything to who is too far behind', () => {
    const log = createTestLog();
    log.update([{id: 'a', value: -1}]);
    const old = log.changesSince(undefined);
    for (let value = 0; value < 3_000; value++) log.update([{id: 'a', value}]);
    expect(log.changesSince(old).isWhole).toEqual(true);
  });

  it('wakes who waits with the next change', async () => {
    const log = createTestLog();
    log.update([{id: 'a', value: 1}]);
    const waiting = log.waitForChanges(log.changesSince(undefined), 60_000);
    log.update([{id: 'a', value: 2}]);
    expect((await waiting).changed).toEqual([{id: 'a', value: 2}]);
  });

  it('answers without a change once the wait is over or the log is closed', async () => {
    const log = createTestLog();
    const known = log.changesSince(undefined);
    expect((await log.waitForChanges(known, 1)).changed).toEqual([]);
    const waiting = log.waitForChanges(known, 60_000);
    log.close();
    expect((await waiting).changed).toEqual([]);
  });
});
