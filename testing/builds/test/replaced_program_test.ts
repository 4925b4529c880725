import assert from 'node:assert/strict';
import {appendFileSync, existsSync, readFileSync, utimesSync} from 'node:fs';
import {join} from 'node:path';
import {describe} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {runBuild, withCheckoutCopy} from '../src/index.js';

const HOUR_MS = 3_600_000;

describe('a program that a build replaces', () => {
  itOrKnownRed('can still be loaded, however old its build is', () =>
    withCheckoutCopy(async copy => {
      await assertBuilds(copy);
      const replaced = readGatewayPath(copy);
      setAge(replaced, HOUR_MS);

      changeGateway(copy, 1);
      await assertBuilds(copy);
      assert.notEqual(readGatewayPath(copy), replaced);
      assert.ok(existsSync(replaced));

      setAge(replaced, HOUR_MS);
      changeGateway(copy, 2);
      await assertBuilds(copy);
      assert.ok(!existsSync(replaced), 'is removed later');
    }),
  );
});

async function assertBuilds(copy: string): Promise<void> {
  const {exitCode, output} = await runBuild(copy);
  assert.equal(exitCode, 0, output);
}

/** Returns the path of the module that the entry point loads. */
function readGatewayPath(copy: string): string {
  const entry = readFileSync(join(copy, 'target/sardinestile.cjs'), 'utf8');
  const name = /sardinestile-[0-9a-f]+\.mjs/.exec(entry)?.[0];
  assert.ok(name !== undefined);
  return join(copy, 'target', name);
}

function setAge(path: string, ageMs: number): void {
  const time = new Date(Date.now() - ageMs);
  utimesSync(path, time, time);
}

function changeGateway(copy: string, version: number): void {
  appendFileSync(
    join(copy, 'cli/sardinestile/src/gateway_main.ts'),
    `\nprocess.env.VERSION_${version} = '';\n`,
  );
}
