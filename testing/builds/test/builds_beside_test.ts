import assert from 'node:assert/strict';
import {cpSync, readFileSync, rmSync, utimesSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {itOrKnownRed} from '@sardinestile/known_red';
import {
  INVALID_SETTINGS_EXIT_CODE,
  ROOT,
  runBuild,
  startProgram,
  withCheckoutCopy,
} from '../src/index.js';

describe('build beside others', () => {
  for (const delayMs of [0, 1_500, 4_000]) {
    itOrKnownRed(`two builds ${delayMs} ms apart both succeed`, () =>
      withCheckoutCopy(copy => assertBothBuild(copy, delayMs)),
    );
  }

  itOrKnownRed('two builds both succeed once the lock file is newer', () =>
    withCheckoutCopy(async copy => {
      assert.equal((await runBuild(copy)).exitCode, 0);
      const now = new Date();
      utimesSync(join(copy, 'package-lock.json'), now, now);
      await assertBothBuild(copy, 1_000);
    }),
  );

  itOrKnownRed('builds while node_modules is emptied again and again', () =>
    withCheckoutCopy(async copy => {
      const stop = new AbortController();
      const emptied = emptyPackages(copy, stop.signal);
      const {exitCode, output} = await runBuild(copy);
      stop.abort();
      await emptied;
      assert.equal(exitCode, 0, output);
      assertStarts(copy);
    }),
  );

  itOrKnownRed('packages of another processor are left as they are', () =>
    withCheckoutCopy(async copy => {
      copyPackages(copy);
      const listPath = join(copy, 'node_modules/.package-lock.json');
      const other = process.arch === 'arm64' ? 'x64' : 'arm64';
      const list = readFileSync(listPath, 'utf8').replaceAll(
        `-${process.arch}`,
        `-${other}`,
      );
      writeFileSync(listPath, list);
      const {exitCode, output} = await runBuild(copy);
      assert.equal(exitCode, 0, output);
      assertStarts(copy);
      assert.equal(readFileSync(listPath, 'utf8'), list);
    }),
  );
});

async function assertBothBuild(copy: string, delayMs: number): Promise<void> {
  const results = await Promise.all([
    runBuild(copy),
    sleep(delayMs).then(() => runBuild(copy)),
  ]);
  for (const {exitCode, output} of results) assert.equal(exitCode, 0, output);
  assertStarts(copy);
}

function assertStarts(copy: string): void {
  const {exitCode, output} = startProgram(copy);
  assert.equal(exitCode, INVALID_SETTINGS_EXIT_CODE, output);
}

/** Puts the bundler's package and the list of installed packages into a copy. */
function copyPackages(copy: string): void {
  for (const name of ['.package-lock.json', 'esbuild']) {
    cpSync(join(ROOT, 'node_modules', name), join(copy, 'node_modules', name), {
      recursive: true,
    });
  }
}

/** Fills and empties node_modules until it is stopped, as installs of a developer do. */
async function emptyPackages(copy: string, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      copyPackages(copy);
      await sleep(100);
      rmSync(join(copy, 'node_modules'), {recursive: true, force: true});
    } catch (error) {
      // A build that writes into node_modules gets between.
      assert.match(String(error), /ENOTEMPTY|ENOENT|EEXIST/);
    }
    await sleep(100);
  }
}
