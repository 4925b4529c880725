import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startStoreListener} from '@sardinestile/hosting_stand_ins';
import {
  createGatewayCluster,
  HOST,
  createKeyedHeaders,
  ROUTE_PATHS,
  sendRawRequest,
  waitUntil,
} from '@sardinestile/hosting_tests';
import {startGatewayProcess} from '@sardinestile/soak';

/** Kernel clock ticks per second, the unit of CPU times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

/** Number of requests in flight. */
const CONCURRENCY = 8;

const PLAIN_CALLS = 4_000;
const STREAMS = 200;
const EVENTS_PER_STREAM = 100;

/** Time for the process to settle before a measurement. */
const SETTLE_MS = 2_000;

const print = (line: string) => process.stdout.write(`${line}\n`);
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Reads the CPU time that a process has used, in milliseconds. */
function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/** Reads the peak resident memory of a process, in mebibytes. */
function readPeakMemoryMib(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1024;
}

/** Measures one gateway process at a log level and prints the figures. */
async function measure(logLevel: string, network: number): Promise<void> {
  const cluster = await createGatewayCluster(2);
  for (const upstream of cluster.upstreams) {
    upstream.chooseBehaviour = ({url}) =>
      url === ROUTE_PATHS.stream
        ? {kind: 'stream', events: EVENTS_PER_STREAM, gapMs: 5}
        : {kind: 'answer'};
  }
  const store = await startStoreListener(cluster.store);
  const gateway = startGatewayProcess({
    index: 1,
    network,
    directory: mkdtempSync(join(tmpdir(), 'gateway-cost-')),
    storePort: store.port,
    dutyInterfacePort: cluster.duties.listener.port,
    environment: {SARDINESTILE_LOG_LEVEL: logLevel},
  });
  let sentRequests = 0;
  const call = async (path: string) => {
    const headers = createKeyedHeaders(`b${sentRequests++}`);
    const {address} = gateway;
    const options = {address, host: HOST, path, headers, timeoutMs: 20_000};
    return (await sendRawRequest(options)).status;
  };
  const isServed = () =>
    call(ROUTE_PATHS.idempotent).then(
      status => status === 200,
      () => false,
    );
  await waitUntil('the gateway to serve', isServed);
  const measureCalls = async (path: string, calls: number) => {
    await sleep(SETTLE_MS);
    const beforeMs = readCpuMs(gateway.pid);
    const startMs = performance.now();
    let left = calls;
    await Promise.all(
      Array.from({length: CONCURRENCY}, async () => {
        while (left-- > 0) await call(path);
      }),
    );
    const elapsedMs = performance.now() - startMs;
    return {cpuMs: readCpuMs(gateway.pid) - beforeMs, elapsedMs};
  };
  const idleBeforeMs = readCpuMs(gateway.pid);
  await sleep(5 * SETTLE_MS);
  const idleMs = readCpuMs(gateway.pid) - idleBeforeMs;
  const idleShare = idleMs / (5 * SETTLE_MS);
  await measureCalls(ROUTE_PATHS.idempotent, PLAIN_CALLS / 4);
  const plain = await measureCalls(ROUTE_PATHS.idempotent, PLAIN_CALLS);
  const streams = await measureCalls(ROUTE_PATHS.stream, STREAMS);
  const cpuMsAboveIdle = ({cpuMs, elapsedMs}: typeof plain) =>
    cpuMs - idleShare * elapsedMs;
  const requestMs = cpuMsAboveIdle(plain) / PLAIN_CALLS;
  const eventMs =
    (cpuMsAboveIdle(streams) - STREAMS * requestMs) /
    (STREAMS * EVENTS_PER_STREAM);
  print(`log level ${logLevel}`);
  print(`  idle           ${(100 * idleShare).toFixed(2)}% of a core`);
  print(`  a request      ${(1_000 * requestMs).toFixed(0)} us of CPU time`);
  print(`  a stream event ${(1_000 * eventMs).toFixed(1)} us of CPU time`);
  print(`  peak memory    ${readPeakMemoryMib(gateway.pid).toFixed(1)} MiB`);
  await gateway.stop();
  await store.close();
  await cluster.close();
}

await measure('info', 240);
await measure('silent', 241);
process.exit(0);
