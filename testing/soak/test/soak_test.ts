import {execFileSync} from 'node:child_process';
import {before, describe} from 'node:test';
import {fileURLToPath} from 'node:url';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {runSoak} from '../src/index.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Seeds that run in CI. A seed that once failed stays here, with a line on the cause. */
const SEEDS = [1, 2];

describe('a soak of gateway processes', () => {
  before(() => {
    execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
  });
  for (const seed of SEEDS) {
    itOrKnownRed(`seed ${seed}: every guarantee holds`, async () => {
      const faultLines: string[] = [];
      const result = await runSoak({
        seed,
        gateways: 3,
        upstreams: 4,
        durationMs: 8_000,
        callsPerSecond: 30,
        keptCallers: 6,
        logFault: line => faultLines.push(line),
      });
      expect(result.failures).toEqual([]);
      expect(result.served > 0).toEqual(true);
    });
  }
});
