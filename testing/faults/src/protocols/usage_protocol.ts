import type {UsageReport} from '@sardinestile/ports';
import {
  createUsageReporter,
  createUsageSource,
  WINDOW_MS,
  type UsageReporter,
  type UsageSource,
} from '@sardinestile/usage';
import {settle, type FaultProcess, type FaultWorld} from '../fault_world.js';
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
  token?: number;
}

/** Two sources record usage; reporters take turns. */
export const USAGE_PROTOCOL: ProtocolUnderTest = {
  name: 'usage',
  promise: 'no usage window is reported twice with different figures',
  async play(world, hasMechanism) {
    const reports: UsageReport[] = [];
    const sources = ['s0', 's1'].map(name => {
      const process = world.createProcess(name);
      return {process, source: createSource(world, process, hasMechanism)};
    });
    const reporters = ['r0', 'r1'].map(name =>
      createReporter(world, name, reports),
    );
    const recorded = new Map<UsageSource, number>();
    for (let tick = 0; tick < TICKS; tick++) {
      world.advance(TICK_MS);
      if (tick === LAST_FAULT_TICK) world.endFaultPhase();
      if (tick === RESUME_TICK) world.resumeAll();
      if (reporters.every(({process}) => process.isDead)) {
        reporters.push(createReporter(world, `r${tick}`, reports));
      }
      if (tick % TERM_TICKS === 0) passTerm(reporters, tick / TERM_TICKS);
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
        await settle();
      }
    }
    const areSourcesUp = sources.every(({process}) => !process.isDead);
    const total = [...recorded.values()].reduce((sum, count) => sum + count, 0);
    return checkReports(reports, areSourcesUp ? total : undefined, total);
  },
};

/** Gives the reporters' lease to the next one that is not dead. */
function passTerm(reporters: readonly Reporter[], term: number): void {
  const alive = reporters.filter(({process}) => !process.isDead);
  reporters.forEach(reporter => (reporter.token = undefined));
  const next = alive[term % Math.max(1, alive.length)];
  if (next) next.token = term + 1;
}

function createSource(
  world: FaultWorld,
  process: FaultProcess,
  hasMechanism: boolean,
): UsageSource {
  const {table} = process;
  return createUsageSource({
    source: process.name,
    wallMs: () => world.nowMs,
    table: hasMechanism
      ? table
      : {...table, transact: writes => table.transact(writes)},
  });
}

function createReporter(
  world: FaultWorld,
  name: string,
  reports: UsageReport[],
): Reporter {
  const process = world.createProcess(name);
  const self: Reporter = {
    process,
    reporter: createUsageReporter({
      table: process.table,
      receiver: {
        report: async ({organisations}) => {
          reports.push(...organisations);
          return true;
        },
      },
      wallMs: () => world.nowMs,
      fencingToken: () => self.token,
      onReported: () => {},
    }),
  };
  return self;
}

function checkReports(
  reports: readonly UsageReport[],
  expectedRequests: number | undefined,
  mostRequests: number,
): string[] {
  const broken: string[] = [];
  const figures = new Map<string, string>();
  let sum = 0;
  for (const report of reports) {
    const key = `${report.windowId}/${report.organisation}`;
    const value = JSON.stringify(report);
    const known = figures.get(key);
    if (known === undefined) sum += report.requests;
    else if (known !== value) broken.push(`${key} has two figures`);
    figures.set(key, value);
    if (Number(report.windowId) % WINDOW_MS !== 0) broken.push('odd window');
  }
  if (sum > mostRequests) broken.push(`${sum} of ${mostRequests} reported`);
  if (expectedRequests !== undefined && sum !== expectedRequests) {
    broken.push(`${sum} of ${expectedRequests} requests were reported`);
  }
  return broken;
}
