import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createOtherGroups} from '../src/other_groups.js';

const A = {host: '127.0.0.1', port: 1};
const B = {host: '127.0.0.1', port: 2};
const KEY_A = '127.0.0.1:1';

function create() {
  const lost: string[] = [];
  const groups = createOtherGroups({
    onLost: instance => lost.push(instance),
    unregisteredLifetimeMs: 2_500,
  });
  return {groups, lost};
}

describe('createOtherGroups', () => {
  it('loses a gateway that was replaced by one with another name at its address', () => {
    const {groups, lost} = create();
    groups.setAddresses([A], [B], 0);
    groups.recordMessage({instance: 'one', startedAtMs: 1}, A, 0);
    groups.recordMessage({instance: 'two', startedAtMs: 2}, A, 10);
    groups.recordMessage({instance: 'two', startedAtMs: 2}, A, 20);
    expect(lost).toEqual(['one']);
  });

  it('keeps one that is not registered yet as long as it sends', () => {
    const {groups, lost} = create();
    groups.recordMessage({instance: 'one', startedAtMs: 1}, A, 1_000);
    groups.setAddresses([], [B], 2_000);
    expect(lost).toEqual([]);
    expect(groups.targets()).toEqual([{address: A}]);
    groups.setAddresses([], [B], 4_000);
    expect(lost).toEqual(['one']);
    groups.setAddresses([], [B], 6_000);
    expect(groups.targets()).toEqual([]);
    expect(lost).toEqual(['one']);
  });

  it('forgets one that joined the own group without losing it', () => {
    const {groups, lost} = create();
    groups.setAddresses([A], [B], 0);
    groups.recordMessage({instance: 'one', startedAtMs: 1}, A, 0);
    groups.setAddresses([], [A, B], 9_000);
    groups.setAddresses([], [B], 19_000);
    expect(lost).toEqual([]);
    expect(groups.includes(KEY_A)).toEqual(false);
  });
});
