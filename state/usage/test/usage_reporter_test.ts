import {describe, it} from 'node:test';
import type {Row, TableService} from '@sardinestile/ports';
import {expect} from 'earl';
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
