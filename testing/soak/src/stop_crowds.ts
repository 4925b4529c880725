import {ROUTE_PATHS} from '@sardinestile/hosting_tests';
import {runLargeCallers} from './run_large_callers.js';
import {pickRandom, type Fault} from './soak_context.js';

/** Range of the number of callers, and of the time for which they send, up to the end of a stop. */
const MIN_CALLERS = 50;
const MAX_CALLERS = 250;
const MIN_DURATION_MS = 2_000;
const MAX_DURATION_MS = 8_000;

/** Sizes of their bodies, in bytes. */
const BODY_BYTES = [16, 1_024, 65_536, 600_000];

/** Pause of callers after a refusal or a lost connection, in milliseconds. */
const PAUSE_MS = 50;

/** Crowds of callers that connect to a gateway again as fast as it refuses them; they excuse no lost request. */
export const CROWD_FAULTS: Readonly<Record<string, Fault>> = {
  stopCrowd({largeRandom: random, gateways, keys, largeRuns}) {
    const stopping = gateways.filter(({isStopping}) => isStopping);
    const gateway = pickRandom(
      stopping.length > 0 ? stopping : gateways,
      random,
    );
    const range = MAX_CALLERS - MIN_CALLERS;
    const callers = MIN_CALLERS + Math.floor(random() * range);
    const bodyBytes = [pickRandom(BODY_BYTES, random)];
    largeRuns.push(
      runLargeCallers({
        address: gateway.address,
        path: ROUTE_PATHS.idempotent,
        durationMs:
          MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
        pattern: {
          name: `crowd${largeRuns.length}`,
          bodyBytes,
          callers,
          pauseMs: PAUSE_MS,
          headers: [{Authorization: `Bearer ${keys[0]}`}],
        },
      }),
    );
    return `${callers} callers with bodies of ${bodyBytes[0]} bytes at ${gateway.name}`;
  },
};
