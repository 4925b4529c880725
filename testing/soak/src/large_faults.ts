import {ROUTE_PATHS} from '@sardinestile/hosting_tests';
import {runLargeCallers} from './run_large_callers.js';
import {pickRandom, type Fault, type SoakContext} from './soak_context.js';
import {ANSWER_BYTES_HEADER, MAX_ANSWER_BYTES} from './usual_upstream.js';

/** Largest body that the configuration of a soak allows, in bytes. */
export const MAX_BODY_BYTES = 4_194_304;

/** Sizes of bodies and of answers: the smallest, and how many sizes a fault has. */
const MIN_BYTES = 16_384;
const SIZES = 8;

/** Range of the number of callers, and of the time for which they send. */
const MIN_CALLERS = 10;
const MAX_CALLERS = 200;
const MIN_DURATION_MS = 500;
const MAX_DURATION_MS = 2_000;

/** Every how many calls one is read slowly, and one ends within its body. */
const SLOW_EVERY = [2, 3, 5, undefined];
const BROKEN_EVERY = [3, 7, undefined];

/** Pause of callers after a refusal, as the gateway asks for, in milliseconds. */
const PAUSE_MS = 200;

/** Statuses that callers of large calls may get beside 200; 0 if the connection ended. */
const USUAL_STATUSES: ReadonlySet<number> = new Set([
  0, 200, 401, 408, 429, 502, 503, 504,
]);

/** Callers of large calls at full speed; they excuse no lost request. */
export const LARGE_FAULTS: Readonly<Record<string, Fault>> = {
  large(soak) {
    const {largeRandom: random, gateways, keys, largeRuns} = soak;
    const gateway = pickRandom(gateways, random);
    const callers = pickPower(MIN_CALLERS, MAX_CALLERS, random);
    const durationMs = between(MIN_DURATION_MS, MAX_DURATION_MS, random);
    const bodyBytes = pickSizes(MAX_BODY_BYTES, random);
    const answerBytes = pickSizes(MAX_ANSWER_BYTES, random);
    largeRuns.push(
      runLargeCallers({
        address: gateway.address,
        path: ROUTE_PATHS.idempotent,
        durationMs,
        pattern: {
          name: `large${largeRuns.length}`,
          bodyBytes,
          callers,
          pauseMs: PAUSE_MS,
          slowEvery: pickRandom(SLOW_EVERY, random),
          brokenEvery: pickRandom(BROKEN_EVERY, random),
          headers: answerBytes.map(bytes => ({
            Authorization: `Bearer ${keys[0]}`,
            [ANSWER_BYTES_HEADER]: String(bytes),
          })),
        },
      }),
    );
    return (
      `${callers} callers with bodies up to ${Math.max(...bodyBytes)} and answers ` +
      `up to ${Math.max(...answerBytes)} bytes at ${gateway.name}`
    );
  },
};

/** Waits for the callers of large calls; returns one text for each kind of answer that none may get. */
export async function checkLargeCalls({
  largeRuns,
}: Pick<SoakContext, 'largeRuns'>): Promise<string[]> {
  const runs = await Promise.all(largeRuns);
  return runs.flatMap(({outcomes, failures}) => [
    ...failures,
    ...outcomes
      .filter(([status]) => !USUAL_STATUSES.has(status))
      .map(([status, count]) => `${count} large calls got ${status}`),
  ]);
}

function pickSizes(maxBytes: number, random: () => number): number[] {
  return Array.from({length: SIZES}, () =>
    pickPower(MIN_BYTES, maxBytes, random),
  );
}

/** Returns an integer between both; small ones are as frequent as large ones. */
function pickPower(min: number, max: number, random: () => number): number {
  return Math.round(min * (max / min) ** random());
}

function between(min: number, max: number, random: () => number): number {
  return min + random() * (max - min);
}
