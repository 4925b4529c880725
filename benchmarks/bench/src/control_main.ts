import {startPathSystem, type PathSystem} from './path/path_system.js';
import {
  readCpuMs,
  readLoopbackBytes,
  readResidentMib,
} from './path/process_usage.js';

/** Duration of each measurement. */
const MEASUREMENT_MS = 10_000;

/** Time for the system to settle before a measurement. */
const SETTLE_MS = 5_000;

const AGENT_COUNTS = [4, 16, 48];

/** Resources that an idle entry uses. */
interface IdleUsage {
  agents: number;
  /** Share of one core, from 0 to 1. */
  cpuShare: number;
  residentMib: number;
  loopbackBytesPerS: number;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function measureIdleUsage(system: PathSystem): Promise<IdleUsage> {
  const {pid} = system.entry.process;
  await sleep(SETTLE_MS);
  const cpuBeforeMs = readCpuMs(pid);
  const bytesBefore = readLoopbackBytes();
  await sleep(MEASUREMENT_MS);
  const usage = {
    agents: system.enginePorts.length,
    cpuShare: (readCpuMs(pid) - cpuBeforeMs) / MEASUREMENT_MS,
    residentMib: readResidentMib(pid),
    loopbackBytesPerS:
      (1000 * (readLoopbackBytes() - bytesBefore)) / MEASUREMENT_MS,
  };
  return usage;
}

/** Kills the entry and measures the loopback traffic of the rest of the system. */
async function measureBaselineBytesPerS(system: PathSystem): Promise<number> {
  system.entry.process.kill('SIGKILL');
  await system.entry.process.exited;
  await sleep(SETTLE_MS);
  const bytesBefore = readLoopbackBytes();
  await sleep(MEASUREMENT_MS);
  return (1000 * (readLoopbackBytes() - bytesBefore)) / MEASUREMENT_MS;
}

for (const engines of AGENT_COUNTS) {
  const system = await startPathSystem({engines, hosts: 2, stepMs: 20});
  const usage = await measureIdleUsage(system);
  const baselineBytesPerS = await measureBaselineBytesPerS(system);
  const controlBytesPerS = usage.loopbackBytesPerS - baselineBytesPerS;
  process.stdout.write(
    `${usage.agents} agents: ${(100 * usage.cpuShare).toFixed(2)}% of a core, ` +
      `${usage.residentMib.toFixed(0)} MiB resident, ` +
      `${controlBytesPerS.toFixed(0)} control bytes/s with packet headers\n`,
  );
  await system.stop();
}
process.exit();
