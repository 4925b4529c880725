import {describe, it} from 'node:test';
import type {Row, TableService} from '@sardinestile/ports';
import {expect} from 'earl';
import {
  closedKey,
  createUsageAccumulator,
  createUsageBatchWriter,
  decodeUsageSums,
  encodeUsageSums,
  sumsKey,
  type UsageSums,
} from '../src/index.js';

const WINDOW_MS = 5_000;
const WINDOW_ID = '00000000005000';

/** Creates a table in memory that checks conditions; `fail` can replace a transaction. */
function createMemoryTable() {
  const rows = new Map<string, Row>();
  let version = 0;
  const state = {
    rows,
    transactions: 0,
    /** Loses the response of the next transaction after it was applied. */
    losesNextResponse: false,
    requestsOf: (source: string) => {
      const row = rows.get(sumsKey(WINDOW_ID, source));
      return row ? (decodeUsageSums(row.value).get('org')?.requests ?? 0) : 0;
    },
  };
  const table: TableService = {
    get: async key => rows.get(key),
    scan: async (fromKey, toKey, limit) =>
      [...rows.values()]
        .filter(({key}) => key >= fromKey && key < toKey)
        .slice(0, limit),
    async transact(writes, checks = []) {
      state.transactions++;
      const areMet = [...writes, ...checks].every(
        ({key, expectedVersion}) =>
          expectedVersion === null ||
          (rows.get(key)?.version ?? 0) === expectedVersion,
      );
      if (!areMet) return {committed: false};
      version++;
      for (const {key, value} of writes) {
        if (value === null) rows.delete(key);
        else rows.set(key, {key, value, version});
      }
      if (state.losesNextResponse) {
        state.losesNextResponse = false;
        throw new Error('no answer');
      }
      return {committed: true, version};
    },
  };
  return {table, state};
}

function sumsOf(requests: number): UsageSums {
  return new Map([['org', {requests, promptTokens: 0, outputTokens: 0}]]);
}

describe('createUsageBatchWriter', () => {
  it('stores the usage of many sources in one transaction', async () => {
    const {table, state} = createMemoryTable();
    const writer = createUsageBatchWriter({table, collectMs: 5});
    const sources = Array.from({length: 20}, (_, i) => `s${i}`);
    const storeAll = (requests: number) =>
      Promise.all(
        sources.map(source =>
          writer.store({
            source,
            windowId: WINDOW_ID,
            sums: sumsOf(requests),
          }),
        ),
      );
    await storeAll(3);
    await storeAll(5);
    expect(state.transactions).toEqual(2);
    expect(sources.map(state.requestsOf)).toEqual(sources.map(() => 5));
  });

  it('keeps the larger counts when a source has written its row itself', async () => {
    const {table, state} = createMemoryTable();
    const writer = createUsageBatchWriter({table, collectMs: 5});
    const windowId = WINDOW_ID;
    await writer.store({source: 'a', windowId, sums: sumsOf(2)});
    const key = sumsKey(windowId, 'a');
    const value = encodeUsageSums(sumsOf(9));
    await table.transact([{key, value, expectedVersion: null}]);
    await writer.store({source: 'a', windowId, sums: sumsOf(4)});
    expect(state.requestsOf('a')).toEqual(9);
  });

  it('stores nothing of a closed window and says so', async () => {
    const {table, state} = createMemoryTable();
    const writer = createUsageBatchWriter({table, collectMs: 5});
    const key = closedKey(WINDOW_ID);
    await table.transact([{key, value: '1', expectedVersion: 0}]);
    await expect(
      writer.store({source: 'a', windowId: WINDOW_ID, sums: sumsOf(4)}),
    ).toBeRejectedWith(/closed/);
    expect(state.requestsOf('a')).toEqual(0);
  });

  it('counts nothing twice and loses nothing when a response is lost or the peer dies', async () => {
    const {table, state} = createMemoryTable();
    const writer = createUsageBatchWriter({table, collectMs: 5});
    let nowMs = Number(WINDOW_ID);
    const source = createUsageAccumulator({
      source: 'a',
      table,
      wallMs: () => nowMs,
      windowMs: WINDOW_MS,
    });
    const record = () =>
      source.record('org', {promptTokens: 0, outputTokens: 0});
    record();
    await source.flush(usage => writer.store(usage));
    record();
    state.losesNextResponse = true;
    await source.flush(usage => writer.store(usage));
    expect(state.requestsOf('a')).toEqual(2);
    record();
    await source.flush(() => Promise.reject(new Error('the peer is gone')));
    expect(state.requestsOf('a')).toEqual(3);
    record();
    await source.flush(usage => writer.store(usage));
    nowMs += WINDOW_MS;
    await source.flush(usage => writer.store(usage));
    expect(state.requestsOf('a')).toEqual(4);
  });
});
