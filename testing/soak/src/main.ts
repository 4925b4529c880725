import {parseArgs} from 'node:util';
import {runSoak} from './run_soak.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    gateways: {type: 'string', default: '4'},
    upstreams: {type: 'string', default: '5'},
    seconds: {type: 'string', default: '15'},
    rate: {type: 'string', default: '60'},
    callers: {type: 'string', default: '8'},
    quiet: {type: 'boolean', default: false},
  },
});

/** Failures of a seed that are printed. */
const MAX_TEXTS = 20;

let failed = 0;
for (let i = 0; i < Number(values.seeds); i++) {
  const seed = Number(values.seed) + i;
  const result = await runSoak({
    seed,
    gateways: Number(values.gateways),
    upstreams: Number(values.upstreams),
    durationMs: Number(values.seconds) * 1_000,
    callsPerSecond: Number(values.rate),
    keptCallers: Number(values.callers),
    logFault: line => {
      if (!values.quiet) process.stdout.write(`${line}\n`);
    },
  });
  const {calls, served, failures, directory, peakMemoryMb, memoryLimitMb} =
    result;
  const verdict = failures.length === 0 ? 'passed' : 'FAILED';
  process.stdout.write(
    `seed ${seed}: ${calls} calls, ${served} served, ${peakMemoryMb.toFixed(1)} of ${memoryLimitMb} MB, ${verdict}\n`,
  );
  if (failures.length === 0) continue;
  failed++;
  const texts = failures.slice(0, MAX_TEXTS).map(text => `  ${text}\n`);
  process.stdout.write(
    `${failures.length} failure(s); logs in ${directory}\n${texts.join('')}`,
  );
}
process.exit(failed === 0 ? 0 : 1);
