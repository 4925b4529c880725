import {readFileSync} from 'node:fs';
import {it} from 'node:test';

const LIST_URL = new URL('../../../KNOWN-RED.txt', import.meta.url);
const TEST_PREFIX = 'test: ';
const UNSTEADY_TEST_PREFIX = 'test at times: ';

/** Tests that are known to fail. */
export interface KnownFailures {
  /** Names of tests that fail each time. */
  readonly steady: ReadonlySet<string>;
  /** Names of tests that fail in some runs, for a fault that is known to be real. */
  readonly unsteady: ReadonlySet<string>;
}

/** Returns the tests listed in KNOWN-RED.txt. */
export function readKnownFailures(): KnownFailures {
  return parseKnownFailures(readFileSync(LIST_URL, 'utf8'));
}

/** Returns the tests listed in a text with the form of KNOWN-RED.txt. */
export function parseKnownFailures(text: string): KnownFailures {
  const lines = text.split('\n');
  const namesAfter = (prefix: string) =>
    new Set(
      lines
        .filter(line => line.startsWith(prefix))
        .map(line => line.slice(prefix.length).trim()),
    );
  return {
    steady: namesAfter(TEST_PREFIX),
    unsteady: namesAfter(UNSTEADY_TEST_PREFIX),
  };
}

/**
 * Declares a test. A test that is listed in KNOWN-RED.txt may fail; its error is
 * then printed as a diagnostic. A listed test that passes is reported as failed,
 * so that it is removed from the list, unless it is listed as failing at times:
 * then it is printed that it passed.
 */
export function itOrKnownRed(name: string, run: () => void | Promise<void>) {
  const {steady, unsteady} = readKnownFailures();
  const isUnsteady = unsteady.has(name);
  if (!isUnsteady && !steady.has(name)) {
    void it(name, run);
    return;
  }
  const label = isUnsteady ? 'known red at times' : 'known red';
  void it(`${name} (${label})`, async context => {
    try {
      await run();
    } catch (error) {
      context.diagnostic(`KNOWN RED: ${name}: ${(error as Error).message}`);
      return;
    }
    if (!isUnsteady) {
      throw new Error('the test passes now: remove it from KNOWN-RED.txt');
    }
    context.diagnostic(`KNOWN RED AT TIMES: ${name}: passed in this run`);
  });
}
