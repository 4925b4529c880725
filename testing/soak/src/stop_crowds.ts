import {ROUTE_PATHS} from '@sardinestile/hosting_tests';
import {SOAK_BOUNDS} from './gateway_process.js';
import {runLargeCallers} from './run_large_callers.js';
import {pickRandom, type Fault} from './soak_context.js';
import {pickRunning, signalAsPlanned} from './stop_faults.js';

/** Range of the number of callers. */
const MIN_CALLERS = 150;
const MAX_CALLERS = 400;

/** Sizes of their bodies, of which a crowd has one, in bytes. */
const BODY_BYTES = [16, 16_384, 262_144];

/** Pause of callers after a refusal or a lost connection, in milliseconds. */
const PAUSE_MS = 20;

/** Stops beside crowds that connect again as fast as they are refused; they excuse no lost request. */
export const CROWD_FAULTS: Readonly<Record<string, Fault>> = {
  stopInCrowd(soak) {
    const {largeRandom: random, keys, largeRuns} = soak;
    const gateway = pickRunning(soak);
    const stop = signalAsPlanned(soak, gateway, 'SIGTERM');
    const range = MAX_CALLERS - MIN_CALLERS;
    const callers = MIN_CALLERS + Math.floor(random() * range);
    const bodyBytes = [pickRandom(BODY_BYTES, random)];
    largeRuns.push(
      runLargeCallers({
        address: gateway.address,
        path: ROUTE_PATHS.idempotent,
        durationMs: SOAK_BOUNDS.grace_s * 1_000,
        pattern: {
          name: `crowd${largeRuns.length}`,
          bodyBytes,
          callers,
          pauseMs: PAUSE_MS,
          headers: [{Authorization: `Bearer ${keys[0]}`}],
        },
      }),
    );
    return `${stop} beside ${callers} callers with bodies of ${bodyBytes[0]} bytes`;
  },
};
