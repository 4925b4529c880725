import {claimIdempotencyKey} from '@sardinestile/idempotency';
import {flushPromises, type FaultProcess} from '../fault_simulation.js';
import type {ProtocolUnderTest} from '../protocol.js';

const IDEMPOTENCY_KEYS = ['booking-1', 'booking-2', 'booking-3'];
const ROUNDS = 4;
const TICK_MS = 8_000;

/** Result of one attempt as reported to the caller. */
type CallerOutcome = 'answered' | 'not_run' | 'unknown';

interface ReportedOutcome {
  call: string;
  outcome: CallerOutcome;
}

/** A caller sends the same bookings several times, alternating between two entries. */
export const IDEMPOTENCY_PROTOCOL: ProtocolUnderTest = {
  name: 'at most once',
  guarantee: 'a request with an idempotency key runs at most once',
  async run(simulation, hasMechanism) {
    const runs = new Map<string, number>();
    const reported: ReportedOutcome[] = [];
    const entries = ['a', 'b'].map(name => simulation.createProcess(name));
    for (let round = 0; round < ROUNDS; round++) {
      simulation.advance(TICK_MS);
      if (round === ROUNDS - 1) simulation.endFaultPhase();
      if (round === ROUNDS - 1) simulation.resumeAll();
      for (const call of IDEMPOTENCY_KEYS) {
        const entry =
          entries[(round + IDEMPOTENCY_KEYS.indexOf(call)) % entries.length];
        await entry.run(async () => {
          const outcome = await serveCall(entry, call, runs, hasMechanism);
          reported.push({call, outcome});
        });
        await flushPromises();
      }
    }
    return checkRuns(runs, reported);
  },
};

async function serveCall(
  entry: FaultProcess,
  call: string,
  runs: Map<string, number>,
  hasMechanism: boolean,
): Promise<CallerOutcome> {
  const outcome = await claimIdempotencyKey(entry.table, {
    organisation: 'o',
    idempotencyKey: call,
    method: 'POST',
    path: '/callouts',
    body: Buffer.from(call),
  });
  if (outcome.kind === 'answered') return 'answered';
  if (outcome.kind === 'unavailable' && hasMechanism) return 'not_run';
  if (outcome.kind !== 'claimed' && hasMechanism) return 'unknown';
  runs.set(call, (runs.get(call) ?? 0) + 1);
  if (outcome.kind === 'claimed') {
    const body = Buffer.from('done');
    await outcome.claim.complete({status: 200, headers: [], body});
  }
  return 'answered';
}

function checkRuns(
  runs: ReadonlyMap<string, number>,
  reported: readonly ReportedOutcome[],
): string[] {
  const failures: string[] = [];
  for (const [call, count] of runs) {
    if (count > 1) failures.push(`${call} ran ${count} times`);
  }
  for (const {call, outcome} of reported) {
    if (outcome === 'answered' && !runs.has(call)) {
      failures.push(`${call} was answered without a run`);
    }
  }
  return failures;
}
