import type {UsageReport} from '@sardinestile/ports';
import {
  createUsageReporter,
  createUsageAccumulator,
  WINDOW_MS,
  type UsageReporter,
  type UsageAccumulator,
} from '@sardinestile/usage';
import {
  flushPromises,
  type FaultProcess,
  type FaultSimulation,
} from '../fault_simulation.js';
import type {ProtocolUnderTest} from '../protocol.js';

const TICK_MS = 10_000;
const RECORDING_TICKS = 18;
const TICKS = 60;
const RESUME_TICK = 40;
const LAST_FAULT_TICK = 36;
const TERM_TICKS = 5;

interface Reporter {
  process: FaultProcess;
  reporter: UsageReporter;
  currentToken?: number;
}

/** Two processes record usage; the lease for reporting it changes between other processes. */
export const USAGE_PROTOCOL: ProtocolUnderTest = {
  name: 'usage',
  guarantee: 'no usage window is reported twice with different counts',
  async run(simulation, hasMechanism) {
    const reports: UsageReport[] = [];
    const sources = ['s0', 's1'].map(name => {
      const process = simulation.createProcess(name);
      return {process, source: createSource(simulation, process, hasMechanism)};
    });
    const reporters = ['r0', 'r1'].map(name =>
      createReporter(simulation, name, reports),
    );
    const recorded = new Map<UsageAccumulator, number>();
    for (let tick = 0; tick < TICKS; tick++) {
      simulation.advance(TICK_MS);
      if (tick === LAST_FAULT_TICK) simulation.endFaultPhase();
      if (tick === RESUME_TICK) simulation.resumeAll();
      if (reporters.every(({process}) => process.isDead)) {
        reporters.push(createReporter(simulation, `r${tick}`, reports));
      }
      if (tick % TERM_TICKS === 0) moveLease(reporters, tick / TERM_TICKS);
      for (const {process, source} of sources) {
        if (process.isDead || process.isFrozen) continue;
        if (tick < RECORDING_TICKS) {
          source.record('o', {promptTokens: 1, outputTokens: 2});
          recorded.set(source, (recorded.get(source) ?? 0) + 1);
        }
        await process.run(() => source.flush());
      }
      for (const {process, reporter} of reporters) {
        await process.run(() => reporter.run());
        await flushPromises();
      }
    }
    const areSourcesUp = sources.every(({process}) => !process.isDead);
    const totalRequests = [...recorded.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    return checkReports(
      reports,
      areSourcesUp ? totalRequests : undefined,
      totalRequests,
    );
  },
};

/** Moves the reporting lease to the next process that is not dead. */
function moveLease(reporters: readonly Reporter[], term: number): void {
  const alive = reporters.filter(({process}) => !process.isDead);
  reporters.forEach(reporter => (reporter.currentToken = undefined));
  const next = alive[term % Math.max(1, alive.length)];
  if (next) next.currentToken = term + 1;
}

function createSource(
  simulation: FaultSimulation,
  process: FaultProcess,
  hasMechanism: boolean,
): UsageAccumulator {
  const {table} = process;
  return createUsageAccumulator({
    source: process.name,
    wallMs: () => simulation.nowMs,
    table: hasMechanism
      ? table
      : {...table, transact: writes => table.transact(writes)},
  });
}

function createReporter(
  simulation: FaultSimulation,
  name: string,
  reports: UsageReport[],
): Reporter {
  const process = simulation.createProcess(name);
  const reporterProcess: Reporter = {
    process,
    reporter: createUsageReporter({
      table: process.table,
      receiver: {
        report: async ({organisations}) => {
          reports.push(...organisations);
          return true;
        },
      },
      wallMs: () => simulation.nowMs,
      fencingToken: () => reporterProcess.currentToken,
      onReported: () => {},
    }),
  };
  return reporterProcess;
}

function checkReports(
  reports: readonly UsageReport[],
  expectedRequests: number | undefined,
  maxRequests: number,
): string[] {
  const failures: string[] = [];
  const reportByWindow = new Map<string, string>();
  let sum = 0;
  for (const report of reports) {
    const key = `${report.windowId}/${report.organisation}`;
    const value = JSON.stringify(report);
    const known = reportByWindow.get(key);
    if (known === undefined) sum += report.requests;
    else if (known !== value) failures.push(`${key} has different counts`);
    reportByWindow.set(key, value);
    // A window id is the start time of the window, a multiple of its length.
    if (Number(report.windowId) % WINDOW_MS !== 0) failures.push('bad window');
  }
  if (sum > maxRequests) failures.push(`${sum} of ${maxRequests} reported`);
  if (expectedRequests !== undefined && sum !== expectedRequests) {
    failures.push(`${sum} of ${expectedRequests} requests were reported`);
  }
  return failures;
}
