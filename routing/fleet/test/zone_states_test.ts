import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createZoneStates} from '../src/index.js';

const REWRITE_TIME_MS = 2_500;

const stateOf = (isOutOfService: boolean, storeVersion: number) => ({
  availabilityZone: 'a',
  isOutOfService,
  storeVersion,
});

const listAt = (
  storeVersion: number,
  states = [] as ReturnType<typeof stateOf>[],
) => ({
  storeVersion,
  states,
  unreadableZones: [] as string[],
});

/** Returns states in which zone a is out of service at version 10. */
const createWithZoneOut = () => {
  const states = createZoneStates(REWRITE_TIME_MS);
  states.applyList(listAt(10, [stateOf(true, 10)]), 0);
  return states;
};

describe('createZoneStates', () => {
  it('knows nothing before the first list', () => {
    const states = createZoneStates(REWRITE_TIME_MS);
    expect(states.list()).toEqual(undefined);
    expect([...states.outOfService()]).toEqual([]);
  });

  describe('with reports in any order', () => {
    it('lets the newer one win', () => {
      const states = createWithZoneOut();
      expect(states.apply(stateOf(false, 9), 0)).toEqual([]);
      expect([...states.outOfService()]).toEqual(['a']);
      expect(states.apply(stateOf(false, 12), 0)).toEqual([
        {kind: 'inService', availabilityZone: 'a', storeVersion: 12},
      ]);
      expect(states.apply(stateOf(true, 11), 0)).toEqual([]);
      expect([...states.outOfService()]).toEqual([]);
    });

    it('ignores a list that is older than the row', () => {
      const states = createWithZoneOut();
      expect(states.applyList(listAt(9), 0)).toEqual([]);
      expect(states.confirm(9, 10 * REWRITE_TIME_MS)).toEqual([]);
      expect([...states.outOfService()]).toEqual(['a']);
    });

    it('reports no change when a newer report says the same', () => {
      const states = createWithZoneOut();
      expect(states.apply(stateOf(true, 20), 0)).toEqual([]);
      expect(states.list()?.states).toEqual([stateOf(true, 20)]);
    });
  });

  describe('with a newer list that lacks the zone', () => {
    it('keeps it out until a read after the time to write again', () => {
      const states = createWithZoneOut();
      expect(states.applyList(listAt(20), 100)).toEqual([
        {kind: 'rowMissing', availabilityZone: 'a', storeVersion: 20},
      ]);
      // A read that was sent too early may have missed the operators' write.
      expect(states.confirm(21, 100 + REWRITE_TIME_MS - 1)).toEqual([]);
      expect([...states.outOfService()]).toEqual(['a']);
      expect(states.confirm(21, 100 + REWRITE_TIME_MS)).toEqual([
        {kind: 'inService', availabilityZone: 'a', storeVersion: 20},
      ]);
    });

    it('keeps it out if the row is written again', () => {
      const states = createWithZoneOut();
      states.applyList(listAt(20), 0);
      states.apply(stateOf(true, 22), REWRITE_TIME_MS - 1);
      expect(states.confirm(22, 10 * REWRITE_TIME_MS)).toEqual([]);
      expect([...states.outOfService()]).toEqual(['a']);
    });

    it('does not take an older report for a row written again', () => {
      const states = createWithZoneOut();
      states.applyList(listAt(20), 0);
      states.apply(stateOf(true, 15), 1);
      expect(states.confirm(20, REWRITE_TIME_MS).length).toEqual(1);
    });

    it('does not begin the time anew with each list', () => {
      const states = createWithZoneOut();
      states.applyList(listAt(20), 0);
      expect(states.applyList(listAt(30), 2_000)).toEqual([]);
      expect(states.confirm(30, REWRITE_TIME_MS).length).toEqual(1);
    });

    it('begins the time anew with a restore of the store', () => {
      const states = createWithZoneOut();
      states.applyList(listAt(20), 0);
      states.recordRestore(2_000);
      expect(states.confirm(30, REWRITE_TIME_MS)).toEqual([]);
      expect(states.confirm(30, 2_000 + REWRITE_TIME_MS).length).toEqual(1);
    });

    it('returns it at once if its deletion is reported', () => {
      const states = createWithZoneOut();
      states.applyList(listAt(20), 0);
      expect(states.apply(stateOf(false, 21), 1).length).toEqual(1);
      expect(states.confirm(30, 10 * REWRITE_TIME_MS)).toEqual([]);
    });

    it('keeps it in its state if the row is there but unreadable', () => {
      const states = createWithZoneOut();
      states.applyList({...listAt(20), unreadableZones: ['a']}, 0);
      expect(states.confirm(30, 10 * REWRITE_TIME_MS)).toEqual([]);
      expect([...states.outOfService()]).toEqual(['a']);
    });
  });

  describe('that has read the store after a restore deleted the row', () => {
    it('keeps a zone out that a peer knows from before, for the time to write again', () => {
      const states = createZoneStates(REWRITE_TIME_MS);
      states.applyList(listAt(100), 0);
      const changes = states.applyList(listAt(50, [stateOf(true, 50)]), 100);
      expect(changes.map(({kind}) => kind)).toEqual([
        'outOfService',
        'rowMissing',
      ]);
      expect(states.confirm(100, REWRITE_TIME_MS)).toEqual([]);
      expect(states.confirm(100, 100 + REWRITE_TIME_MS).length).toEqual(1);
      // The peer may report it for a little longer.
      expect(states.apply(stateOf(true, 50), 9_000)).toEqual([]);
    });
  });
});
