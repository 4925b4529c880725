import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createLease, type Lease, type StoredLease} from '../src/index.js';

const DURATION_MS = 9_000;
const OPERATION_TIMEOUT_MS = 3_000;

function createTestLease(holderId: string): Lease {
  let writes = 0;
  return createLease({
    holderId,
    durationMs: DURATION_MS,
    operationTimeoutMs: OPERATION_TIMEOUT_MS,
    nextWriterToken: () => `${holderId}-${writes++}`,
  });
}

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

/** Lets a lease claim its row at a time. */
function claim(lease: Lease, ms: number): void {
  lease.handle({kind: 'timePassed'}, at(ms));
  const [write] = lease.handle({kind: 'read', lease: undefined}, at(ms));
  expect(write.kind).toEqual('write');
  lease.handle({kind: 'written', isCommitted: true}, at(ms + 500));
}

function rowOf(holderId: string, version: number): StoredLease {
  const row = {holderId, fencingToken: 4, writerToken: `${holderId}-x`};
  return {row, version};
}

describe('createLease', () => {
  it('starts the term when the write is sent, not when it is confirmed', () => {
    const lease = createTestLease('a');
    claim(lease, 0);
    expect(lease.fencingTokenAt(at(DURATION_MS - 1))).toEqual(1);
    expect(lease.fencingTokenAt(at(DURATION_MS))).toEqual(undefined);
  });

  it('ends the term when either clock has advanced by its duration', () => {
    const lease = createTestLease('a');
    claim(lease, 0);
    const suspended = {monotonicMs: 600, wallMs: DURATION_MS};
    const frozen = {monotonicMs: DURATION_MS, wallMs: 600};
    expect(lease.fencingTokenAt(suspended)).toEqual(undefined);
    expect(lease.fencingTokenAt(frozen)).toEqual(undefined);
  });

  it('claims the lease when its row was unchanged for the duration and the timeout', () => {
    const lease = createTestLease('b');
    const readAt = (ms: number, version: number) => {
      lease.handle({kind: 'timePassed'}, at(ms));
      return lease.handle({kind: 'read', lease: rowOf('a', version)}, at(ms));
    };
    expect(readAt(0, 7)).toEqual([]);
    expect(readAt(10_000, 8)).toEqual([]);
    expect(readAt(21_999, 8)).toEqual([]);
    const [write] = readAt(22_000, 8);
    expect(write).toLooseEqual({
      kind: 'write',
      row: {holderId: 'b', fencingToken: 5, writerToken: 'b-0'},
      expectedVersion: 8,
    });
  });

  describe('a write with an unknown outcome', () => {
    function loseResponse(lease: Lease) {
      lease.handle({kind: 'timePassed'}, at(0));
      lease.handle({kind: 'read', lease: undefined}, at(0));
      return lease.handle({kind: 'writeOutcomeUnknown'}, at(2_000));
    }

    it('acquires the lease if the row has its writer token', () => {
      const lease = createTestLease('a');
      expect(loseResponse(lease)).toEqual([{kind: 'read'}]);
      const row = {holderId: 'a', fencingToken: 1, writerToken: 'a-0'};
      lease.handle({kind: 'read', lease: {row, version: 1}}, at(2_100));
      expect(lease.fencingTokenAt(at(2_100))).toEqual(1);
      expect(lease.fencingTokenAt(at(DURATION_MS))).toEqual(undefined);
    });

    it('does not acquire the lease if another process wrote the row', () => {
      const lease = createTestLease('a');
      loseResponse(lease);
      lease.handle({kind: 'read', lease: rowOf('b', 1)}, at(2_100));
      expect(lease.fencingTokenAt(at(2_100))).toEqual(undefined);
    });
  });

  it('is never held by two processes under lost responses, delays and clock steps', () => {
    const stepArbitrary = fc.record({
      leaseIndex: fc.nat(1),
      elapsedMs: fc.integer({min: 0, max: 4_000}),
      wallStepMs: fc.constantFrom(0, 0, 0, 3_600_000, -3_600_000),
      fault: fc.constantFrom('none', 'none', 'none', 'lost', 'down'),
    });
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 120}), steps => {
        const leases = ['a', 'b'].map(createTestLease);
        let stored: StoredLease | undefined;
        let nowMs = 0;
        let wallOffsetMs = 0;
        let lastUse = {leaseIndex: 0, atMs: -Infinity, token: 0};
        const now = () => ({monotonicMs: nowMs, wallMs: nowMs + wallOffsetMs});
        for (const step of steps) {
          nowMs += step.elapsedMs;
          wallOffsetMs += step.wallStepMs;
          const lease = leases[step.leaseIndex];
          let commands = lease.handle({kind: 'timePassed'}, now());
          for (let turn = 0; turn < 4 && commands.length > 0; turn++) {
            const [command] = commands;
            if (command.kind === 'read') {
              commands =
                step.fault === 'down'
                  ? lease.handle({kind: 'readFailed'}, now())
                  : lease.handle({kind: 'read', lease: stored}, now());
              continue;
            }
            const version = stored?.version ?? 0;
            const isCommitted =
              step.fault !== 'down' && version === command.expectedVersion;
            if (isCommitted) stored = {row: command.row, version: version + 1};
            commands =
              step.fault === 'none'
                ? lease.handle({kind: 'written', isCommitted}, now())
                : lease.handle({kind: 'writeOutcomeUnknown'}, now());
          }
          leases.forEach((holder, leaseIndex) => {
            const token = holder.fencingTokenAt(now());
            if (token === undefined) return;
            expect(token).toBeGreaterThanOrEqual(lastUse.token);
            if (leaseIndex !== lastUse.leaseIndex) {
              expect(token).toBeGreaterThan(lastUse.token);
              const pauseMs = nowMs - lastUse.atMs;
              expect(pauseMs).toBeGreaterThanOrEqual(OPERATION_TIMEOUT_MS);
            }
            lastUse = {leaseIndex, atMs: nowMs, token};
          });
        }
      }),
      {seed: 411, numRuns: 2_000},
    );
  });
});

describe('createLease after a restore of the table service', () => {
  const GENERATION_TWO = 2_000;
  const createRestorableLease = () => {
    let writes = 0;
    return createLease({
      holderId: 'a',
      durationMs: DURATION_MS,
      operationTimeoutMs: OPERATION_TIMEOUT_MS,
      nextWriterToken: () => `a-${writes++}`,
      minFencingToken: () => GENERATION_TWO,
    });
  };
  const readAt = (lease: Lease, ms: number, row: StoredLease | undefined) => {
    lease.handle({kind: 'timePassed'}, at(ms));
    return lease.handle({kind: 'read', lease: row}, at(ms));
  };
  const WAIT_MS = DURATION_MS + OPERATION_TIMEOUT_MS;

  it('ends the term of the holder at once', () => {
    const lease = createTestLease('a');
    claim(lease, 0);
    lease.handle({kind: 'restored'}, at(600));
    expect(lease.fencingTokenAt(at(600))).toEqual(undefined);
  });

  it('issues no token of before the restore again', () => {
    const lease = createRestorableLease();
    lease.handle({kind: 'restored'}, at(0));
    expect(readAt(lease, 0, rowOf('b', 7))).toEqual([]);
    const [write] = readAt(lease, WAIT_MS, rowOf('b', 7));
    expect(write.kind === 'write' && write.row.fencingToken).toEqual(
      GENERATION_TWO,
    );
  });

  it('waits for a holder whose row the restore has deleted', () => {
    const lease = createRestorableLease();
    lease.handle({kind: 'restored'}, at(0));
    expect(readAt(lease, 0, undefined)).toEqual([]);
    expect(readAt(lease, WAIT_MS - 1, undefined)).toEqual([]);
    expect(readAt(lease, WAIT_MS, undefined).length).toEqual(1);
  });

  it('does not hold a lease by a claim that was in flight', () => {
    const lease = createTestLease('a');
    lease.handle({kind: 'timePassed'}, at(0));
    const [write] = lease.handle({kind: 'read', lease: undefined}, at(0));
    lease.handle({kind: 'restored'}, at(100));
    lease.handle({kind: 'writeOutcomeUnknown'}, at(200));
    const row = write.kind === 'write' ? write.row : undefined;
    lease.handle({kind: 'read', lease: {row: row!, version: 9}}, at(300));
    expect(lease.fencingTokenAt(at(300))).toEqual(undefined);
  });
});
