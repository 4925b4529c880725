import assert from 'node:assert/strict';
import {existsSync, readdirSync, rmSync, utimesSync} from 'node:fs';
import {join} from 'node:path';
import {describe} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {itOrKnownRed} from '@sardinestile/known_red';
import {createSeededRandom} from '@sardinestile/types';
import {
  INVALID_SETTINGS_EXIT_CODE,
  runBuild,
  startProgram,
  withCheckoutCopy,
} from '../src/index.js';

const STEPS = 6;
const MAX_DELAY_MS = 9_000;
const SEEDS = parseSeeds(process.env.BUILD_SEEDS ?? '1');

/** What may happen to a checkout; each takes a source of random numbers from 0 to 1. */
const STEP_KINDS: Readonly<
  Record<string, (copy: string, random: () => number) => Promise<void>>
> = {
  async cutOff(copy, random) {
    await runBuild(copy, {killAfterMs: random() * MAX_DELAY_MS});
  },
  async pair(copy, random) {
    await Promise.all([
      assertBuilds(copy),
      sleep(random() * MAX_DELAY_MS).then(() => assertBuilds(copy)),
    ]);
  },
  async cutOffBeside(copy, random) {
    await Promise.all([
      assertBuilds(copy),
      runBuild(copy, {killAfterMs: random() * MAX_DELAY_MS}),
    ]);
  },
  async newerLockFile(copy) {
    const now = new Date();
    utimesSync(join(copy, 'package-lock.json'), now, now);
  },
  async incompletePackages(copy, random) {
    const packages = listPackages(copy);
    const removed = packages[Math.floor(random() * packages.length)];
    if (removed !== undefined) rmSync(removed, {recursive: true, force: true});
  },
};

describe('builds in series', () => {
  for (const seed of SEEDS) {
    itOrKnownRed(
      `succeed after builds that were cut off, seed ${seed}`,
      async () => {
        const {next: random} = createSeededRandom(seed);
        await withCheckoutCopy(async copy => {
          for (let step = 0; step < STEPS; step++) {
            const kinds = Object.values(STEP_KINDS);
            await kinds[Math.floor(random() * kinds.length)]?.(copy, random);
          }
          await assertBuilds(copy);
          assert.equal(startProgram(copy).exitCode, INVALID_SETTINGS_EXIT_CODE);
        });
      },
    );
  }

  itOrKnownRed('never keep a program from starting', async () => {
    await withCheckoutCopy(async copy => {
      await assertBuilds(copy);
      let isBuilding = true;
      const builds = (async () => {
        await Promise.all([assertBuilds(copy), assertBuilds(copy)]);
        await runBuild(copy, {killAfterMs: 700});
        await assertBuilds(copy);
      })().finally(() => (isBuilding = false));
      while (isBuilding) {
        const {exitCode, output} = startProgram(copy);
        assert.equal(exitCode, INVALID_SETTINGS_EXIT_CODE, output);
        await sleep(20);
      }
      await builds;
    });
  });
});

async function assertBuilds(copy: string): Promise<void> {
  const {exitCode, output} = await runBuild(copy);
  assert.equal(exitCode, 0, output);
}

/** Lists the directories of installed packages below target/. */
function listPackages(copy: string): string[] {
  const target = join(copy, 'target');
  if (!existsSync(target)) return [];
  return readdirSync(target, {
    recursive: true,
    withFileTypes: true,
  })
    .filter(entry => entry.isDirectory())
    .filter(({parentPath}) => parentPath.endsWith('/node_modules'))
    .map(({parentPath, name}) => join(parentPath, name));
}

/** Parses seeds such as "7" or "1-20". */
function parseSeeds(text: string): number[] {
  const [first = 1, last = first] = text.split('-').map(Number);
  return Array.from({length: last - first + 1}, (_, i) => first + i);
}
