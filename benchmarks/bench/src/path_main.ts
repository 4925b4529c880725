import type {Histogram} from 'hdr-histogram-js';
import {startHostProcess} from './path/host_process.js';
import {runOpenLoop, type OpenLoopResult} from './path/open_loop.js';
import {MODEL, startPathSystem, type PathSystem} from './path/path_system.js';
import {readCpuMs, readResidentMib} from './path/process_usage.js';

/** Load that the system is designed for, per node. */
const NODE_REQUESTS_PER_S = 13;
const NODE_TOKENS_PER_S = 3_800;

/** Maximum time to first token at the high load, 95th percentile. */
const MAX_FIRST_TOKEN_MS = 400;

/** Multiple of a node's load that one entry has to sustain on one core. */
const HIGH_LOAD_RATIO = 10;

/** Maximum time to first token that routing may add, 95th percentile. */
const MAX_ADDED_FIRST_TOKEN_MS = 5;

const DURATION_MS = 15_000;
const STEP_MS = 20;
const ENGINES = 16;
const HOSTS = 4;

const tokensPerRequest = Math.round(NODE_TOKENS_PER_S / NODE_REQUESTS_PER_S);

function quantileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printTimes(name: string, result: OpenLoopResult): void {
  const times = [result.firstTokenUs, result.intervalUs].map(histogram =>
    [50, 95, 99].map(p => quantileMs(histogram, p).toFixed(1)).join('/'),
  );
  print(
    `${name.padEnd(18)} time to first token ${times[0]} ms, between tokens ${times[1]} ms ` +
      `(p50/p95/p99), requests ${result.requests}, failed ${result.failures}, tokens ${result.tokens}`,
  );
}

function runLoad(
  system: PathSystem,
  addresses: string[],
  requestsPerS: number,
) {
  return runOpenLoop({
    addresses,
    secret: system.secret,
    model: MODEL,
    requestsPerS,
    tokensPerRequest,
    durationMs: DURATION_MS,
  });
}

async function main(): Promise<void> {
  const system = await startPathSystem({
    engines: ENGINES,
    hosts: HOSTS,
    stepMs: STEP_MS,
  });
  const empty = await startHostProcess({kind: 'empty'});
  const {pid} = system.entry.process;
  const entryAddress = [system.entry.process.address];
  const engineAddresses = system.enginePorts.map(port => `127.0.0.1:${port}`);
  await runLoad(system, entryAddress, NODE_REQUESTS_PER_S);
  const idleMib = readResidentMib(pid);

  const direct = await runLoad(system, engineAddresses, NODE_REQUESTS_PER_S);
  printTimes('direct, 1x', direct);
  const cpuBeforeMs = readCpuMs(pid);
  const routed = await runLoad(system, entryAddress, NODE_REQUESTS_PER_S);
  const cpuMs = readCpuMs(pid) - cpuBeforeMs;
  printTimes('routed, 1x', routed);
  const addedFirstTokenMs = [50, 95, 99].map(
    p =>
      quantileMs(routed.firstTokenUs, p) - quantileMs(direct.firstTokenUs, p),
  );
  print(
    `added time to first token, 1x: ${addedFirstTokenMs.map(ms => ms.toFixed(1)).join('/')} ms`,
  );
  print(`entry, 1x: ${((100 * cpuMs) / DURATION_MS).toFixed(1)}% of a core`);

  const highLoadCpuBeforeMs = readCpuMs(pid);
  let peakMib = 0;
  const sampler = setInterval(() => {
    peakMib = Math.max(peakMib, readResidentMib(pid));
  }, 200);
  const startedAtMs = performance.now();
  const highLoad = await runLoad(
    system,
    entryAddress,
    HIGH_LOAD_RATIO * NODE_REQUESTS_PER_S,
  );
  const elapsedMs = performance.now() - startedAtMs;
  clearInterval(sampler);
  const highLoadCpuMs = readCpuMs(pid) - highLoadCpuBeforeMs;
  printTimes('routed, 10x', highLoad);
  const cores = highLoadCpuMs / elapsedMs;
  print(
    `entry, 10x: ${(100 * cores).toFixed(1)}% of a core, ` +
      `${((highLoad.requests / highLoadCpuMs) * 1000).toFixed(0)} requests/s and ` +
      `${((highLoad.tokens / highLoadCpuMs) * 1000).toFixed(0)} tokens/s for one core`,
  );
  const openStreams =
    (HIGH_LOAD_RATIO * NODE_REQUESTS_PER_S * tokensPerRequest * STEP_MS) / 1000;
  print(
    `memory: entry ${idleMib.toFixed(0)} MiB idle, ${peakMib.toFixed(0)} MiB at 10x with about ` +
      `${openStreams.toFixed(0)} open streams ` +
      `(${((1024 * (peakMib - idleMib)) / openStreams).toFixed(0)} KiB for each); ` +
      `empty Node.js process ${readResidentMib(empty.pid).toFixed(0)} MiB`,
  );
  const isAddedFirstTokenMet = addedFirstTokenMs[1] <= MAX_ADDED_FIRST_TOKEN_MS;
  const highLoadFirstTokenMs = quantileMs(highLoad.firstTokenUs, 95);
  const isHighLoadMet =
    highLoad.failures === 0 && highLoadFirstTokenMs <= MAX_FIRST_TOKEN_MS;
  print(
    `${isAddedFirstTokenMet ? 'met' : 'NOT MET'}: p95 of the added time to first token at most ${MAX_ADDED_FIRST_TOKEN_MS} ms`,
  );
  print(
    `${isHighLoadMet ? 'met' : 'NOT MET'}: ${HIGH_LOAD_RATIO}x sustained by one entry on one core, p95 of the time to first token ${highLoadFirstTokenMs.toFixed(0)} ms`,
  );
  if (!isAddedFirstTokenMet || !isHighLoadMet) process.exitCode = 1;
  empty.stop();
  await system.stop();
}

await main();
process.exit();
