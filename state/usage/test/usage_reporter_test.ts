import {describe, it} from 'node:test';
import type {Row, TableService} from '@sardinestile/ports';
import {expect} from 'earl';
import {firstTokenOf} from '@sardinestile/types';
import {createUsageReporter, createUsageAccumulator} from '../src/index.js';

const WINDOW_MS = 5_000;
const HOUR_MS = 3_600_000;

/** Creates a table in memory. It checks no conditions, since only one process writes. */
function createMemoryTable() {
  const rows = new Map<string, Row>();
  let version = 0;
  const table: TableService = {
    get: async key => rows.get(key),
    scan: async (fromKey, toKey, limit) =>
      [...rows.values()]
        .filter(({key}) => key >= fromKey && key < toKey)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit),
    async transact(writes) {
      version++;
      for (const {key, value} of writes) {
        if (value === null) rows.delete(key);
        else rows.set(key, {key, value, version});
      }
      return {committed: true, version};
    },
  };
  return {table, rows};
}

describe('createUsageReporter', () => {
  it('removes only the rows of reported windows, an hour after their end', async () => {
    const {table, rows} = createMemoryTable();
    let nowMs = 1_700_000_000_000;
    const reported: string[] = [];
    const reporter = createUsageReporter({
      table,
      receiver: {report: async () => true},
      wallMs: () => nowMs,
      windowMs: WINDOW_MS,
      closeDelayMs: 0,
      fencingToken: () => 1,
      onReported: windowId => reported.push(windowId),
    });
    const sources = Array.from({length: 120}, (_, index) =>
      createUsageAccumulator({
        source: `s${index}`,
        table,
        wallMs: () => nowMs,
        windowMs: WINDOW_MS,
      }),
    );
    for (const source of sources) {
      source.record('o', {promptTokens: 0, outputTokens: 0});
      await source.flush();
    }
    nowMs += WINDOW_MS;
    await reporter.run();
    const [windowId] = reported;
    const rowsOf = (id: string) =>
      [...rows.keys()].filter(key => key.includes(id));
    expect(rowsOf(windowId).length).toEqual(122);
    nowMs += HOUR_MS - 2 * WINDOW_MS;
    await reporter.run();
    expect(rowsOf(windowId).length).toEqual(122);
    nowMs += 3 * WINDOW_MS + 60_000;
    await reporter.run();
    expect(rowsOf(windowId)).toEqual([]);
    expect(rowsOf(reported.at(-1)!).length).toEqual(2);
    expect(rows.has('usage/reporter')).toEqual(true);
  });
});

describe('createUsageReporter after a restore of the store', () => {
  const startMs = 1_700_000_000_000;
  const windowId = '01700000000000';
  const nextWindowId = '01700000005000';
  const setUp = () => {
    const {table, rows} = createMemoryTable();
    const state = {nowMs: startMs, generation: 1};
    const reports: Array<{windowId: string; requests: number}> = [];
    const skipped: string[] = [];
    const startReporter = () =>
      createUsageReporter({
        table,
        receiver: {
          async report({windowId: id, organisations}) {
            const requests = organisations.reduce(
              (sum, usage) => sum + usage.requests,
              0,
            );
            reports.push({windowId: id, requests});
            return true;
          },
        },
        wallMs: () => state.nowMs,
        windowMs: WINDOW_MS,
        closeDelayMs: 1_000,
        fencingToken: () => firstTokenOf(state.generation),
        onReported: () => undefined,
        onSkipped: id => skipped.push(id),
      });
    const store = (id: string, requests: number) => {
      const value = JSON.stringify({
        org: {requests, promptTokens: 0, outputTokens: 0},
      });
      const key = `usage/sums/${id}/source`;
      return table.transact([{key, value, expectedVersion: null}]);
    };
    return {table, rows, state, reports, skipped, startReporter, store};
  };

  for (const isSameReporter of [true, false]) {
    const name = isSameReporter ? 'the reporter' : 'another reporter';
    it(`never lets ${name} report a window with other figures`, async () => {
      const {rows, state, reports, startReporter, store, skipped} = setUp();
      const reporter = startReporter();
      // Lets the reporter's row exist before the copy is made.
      await store(windowId, 3);
      await reporter.run();
      const copy = new Map(rows);
      await store(windowId, 5);
      state.nowMs = startMs + WINDOW_MS + 1_500;
      await reporter.run();
      expect(reports).toEqual([{windowId, requests: 5}]);

      rows.clear();
      copy.forEach((row, key) => rows.set(key, row));
      state.generation = 2;
      await store(nextWindowId, 7);
      const next = isSameReporter ? reporter : startReporter();
      await next.run();
      state.nowMs += WINDOW_MS;
      await next.run();
      const ofWindow = reports.filter(report => report.windowId === windowId);
      expect(new Set(ofWindow.map(({requests}) => requests)).size).toEqual(1);
      expect(skipped).toEqual(isSameReporter ? [] : [windowId]);
      expect(reports.at(-1)).toEqual({windowId: nextWindowId, requests: 7});
    });
  }
});
