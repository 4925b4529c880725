import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {LargeCallPattern} from './large_callers.js';

const MAIN_PATH = fileURLToPath(
  new URL('./large_callers_main.ts', import.meta.url),
);

/** What large callers do, and for how long. */
export interface LargeCallsOptions {
  address: string;
  path: string;
  pattern: LargeCallPattern;
  durationMs: number;
}

/** What large callers got. */
export interface LargeCallsResult {
  /** Number of finished calls by status; 0 for those that ended without a complete response. */
  outcomes: ReadonlyArray<readonly [status: number, count: number]>;
  /** A line for each refusal that does not say when to retry. */
  failures: readonly string[];
}

/** Runs large callers in a process of their own, so that they do not hold up other callers. */
export function runLargeCallers(
  options: LargeCallsOptions,
): Promise<LargeCallsResult> {
  return new Promise(resolve => {
    const child = fork(MAIN_PATH);
    const fail = (reason: string) =>
      resolve({outcomes: [], failures: [`the large callers: ${reason}`]});
    child.once('message', result => resolve(result as LargeCallsResult));
    child.once('error', error => fail(error.message));
    child.once('exit', code => fail(`ended with ${code}`));
    child.send(options, error => {
      if (error) fail(error.message);
    });
  });
}
