import {execFileSync} from 'node:child_process';
import {before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {runSoak} from '../src/index.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Seeds that run in CI; one that ever failed stays here with a line on its cause. */
const SEEDS = [1, 2];

describe('soak of real gateway processes', () => {
  before(() => {
    execFileSync(process.execPath, ['deploy/bundle.mjs'], {cwd: ROOT});
  });
  for (const seed of SEEDS) {
    it(`seed ${seed}: every promise is kept`, async () => {
      const plan: string[] = [];
      const result = await runSoak({
        seed,
        gateways: 3,
        upstreams: 4,
        lengthMs: 8_000,
        callsPerSecond: 30,
        say: line => plan.push(line),
      });
      expect(result.broken).toEqual([]);
      expect(result.served > 0).toEqual(true);
    });
  }
});
