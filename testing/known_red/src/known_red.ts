import {readFileSync} from 'node:fs';
import {it} from 'node:test';

const LIST_URL = new URL('../../../KNOWN-RED.txt', import.meta.url);
const TEST_PREFIX = 'test: ';
const UNSTEADY_TEST_PATTERN = /^test at times: (.+)\nfails with: (.+)$/gm;

/** Tests that are known to fail. */
export interface KnownFailures {
  /** Names of tests that fail each time. */
  readonly steady: ReadonlySet<string>;
  /**
   * Tests that fail in some runs, for a fault that is known to be real: the part of the message
   * that tells this failure from others, by name.
   */
  readonly unsteady: ReadonlyMap<string, string>;
}

/** Returns the tests listed in KNOWN-RED.txt. */
export function readKnownFailures(): KnownFailures {
  return parseKnownFailures(readFileSync(LIST_URL, 'utf8'));
}

/** Returns the tests listed in a text with the form of KNOWN-RED.txt. */
export function parseKnownFailures(text: string): KnownFailures {
  const steady = text
    .split('\n')
    .filter(line => line.startsWith(TEST_PREFIX))
    .map(line => line.slice(TEST_PREFIX.length).trim());
  const unsteady = [...text.matchAll(UNSTEADY_TEST_PATTERN)].map(
    ([, name, message]) => [name.trim(), message.trim()] as const,
  );
  return {steady: new Set(steady), unsteady: new Map(unsteady)};
}

/**
 * Declares a test. A test that is listed in KNOWN-RED.txt may fail; its error is
 * then printed as a diagnostic. A listed test that passes is reported as failed,
 * so that it is removed from the list. One that is listed as failing at times may
 * pass, which is printed, and may fail with the listed message only.
 */
export function itOrKnownRed(name: string, run: () => void | Promise<void>) {
  const {steady, unsteady} = readKnownFailures();
  const unsteadyMessage = unsteady.get(name);
  const isUnsteady = unsteadyMessage !== undefined;
  if (!isUnsteady && !steady.has(name)) {
    void it(name, run);
    return;
  }
  const label = isUnsteady ? 'known red at times' : 'known red';
  void it(`${name} (${label})`, async context => {
    try {
      await run();
    } catch (error) {
      const {message} = error as Error;
      if (isUnsteady && !message.includes(unsteadyMessage)) throw error;
      context.diagnostic(`KNOWN RED: ${name}: ${message}`);
      return;
    }
    if (!isUnsteady) {
      throw new Error('the test passes now: remove it from KNOWN-RED.txt');
    }
    context.diagnostic(`KNOWN RED AT TIMES: ${name}: passed in this run`);
  });
}
