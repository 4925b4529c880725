import {
  SOAK_BOUNDS,
  THROW_SIGNAL,
  type GatewayProcess,
} from './gateway_process.js';
import {
  disturb,
  pickRandom,
  RESTART_MS,
  type Fault,
  type SoakContext,
} from './soak_context.js';

/** Largest number of gateways that are stopped in turn, and range of the time between them, in milliseconds. */
const MAX_SERIES = 3;
const MIN_SERIES_GAP_MS = 200;
const MAX_SERIES_GAP_MS = 1_200;

/** Time from the first SIGTERM up to which a second one comes, in milliseconds. */
const MAX_SECOND_STOP_MS = 3_000;

/** Time before and after SIGTERM in which SIGHUPs come, and their number. */
const RELOAD_LEAD_MS = 300;
const RELOAD_RANGE_MS = 5_000;
const RELOADS = 4;

/** Time after the start of a process within which a signal comes, in milliseconds. */
const STARTING_MS = 700;

/** Largest number of errors that one fault throws, and the time between them, in milliseconds. */
const MAX_ERRORS = 4;
const ERROR_GAP_MS = 100;

/** Share of the series beside which the configuration changes. */
const CONFIGURE_SHARE = 0.5;

/** Planned work on gateways, by name: stops and reloads, also in series and while others go on. */
export const STOP_FAULTS: Readonly<Record<string, Fault>> = {
  stop(soak) {
    return signalAsPlanned(soak, pickRunning(soak), 'SIGTERM');
  },
  stopSeries(soak) {
    const {cluster, random, runLater} = soak;
    const count = 1 + Math.ceil(random() * (MAX_SERIES - 1));
    const first = soak.exposedGateways.indexOf(pickRunning(soak));
    const inTurn = [
      ...soak.exposedGateways.slice(first),
      ...soak.exposedGateways.slice(0, first),
    ].slice(0, count);
    let atMs = 0;
    for (const gateway of inTurn) {
      runLater(atMs, () => signalAsPlanned(soak, gateway, 'SIGTERM'));
      atMs += between(MIN_SERIES_GAP_MS, MAX_SERIES_GAP_MS, random);
    }
    if (random() < CONFIGURE_SHARE) {
      runLater(random() * atMs, () => void cluster.configure());
    }
    return `SIGTERM in turn to ${inTurn.map(({name}) => name).join(', ')}`;
  },
  stopTwice(soak) {
    const gateway = pickRunning(soak);
    const {pid} = gateway;
    const gapMs = Math.round(soak.random() * MAX_SECOND_STOP_MS);
    soak.runLater(gapMs, () => {
      if (gateway.pid === pid) signalAsPlanned(soak, gateway, 'SIGTERM');
    });
    return `${signalAsPlanned(soak, gateway, 'SIGTERM')}, again after ${gapMs} ms`;
  },
  reloadWhileStopping(soak) {
    const {cluster, random, runLater} = soak;
    const gateway = pickRunning(soak);
    const reload = () => reloadSettings(soak, gateway);
    reload();
    runLater(random() * RELOAD_LEAD_MS, () =>
      signalAsPlanned(soak, gateway, 'SIGTERM'),
    );
    for (let i = 0; i < RELOADS; i++) {
      runLater(random() * RELOAD_RANGE_MS, reload);
    }
    runLater(random() * RELOAD_RANGE_MS, () => void cluster.configure());
    return `SIGTERM to ${gateway.name} among ${RELOADS + 1} SIGHUPs`;
  },
  uncaughtErrors(soak) {
    const gateway = pickRunning(soak);
    const errors = 1 + Math.floor(soak.random() * MAX_ERRORS);
    const throwError = () => gateway.signal(THROW_SIGNAL);
    recordStop(soak, gateway);
    throwError();
    for (let i = 1; i < errors; i++) {
      soak.runLater(i * ERROR_GAP_MS, throwError);
    }
    return `${errors} errors in ${gateway.name}`;
  },
  signalWhileStarting(soak) {
    const {random, runLater} = soak;
    const stopping = soak.exposedGateways.filter(g => g.isStopping);
    const gateway = pickRandom(
      stopping.length > 0 ? stopping : soak.exposedGateways,
      random,
    );
    if (!gateway.isStopping) signalAsPlanned(soak, gateway, 'SIGTERM');
    const signal = random() < 0.5 ? 'SIGHUP' : 'SIGTERM';
    const delayMs = Math.round(random() * STARTING_MS);
    gateway.onNextStart(() =>
      runLater(delayMs, () => {
        // The signal may end a process that has no handler for it yet.
        disturb(soak, RESTART_MS, gateway, true);
        signalAsPlanned(soak, gateway, signal);
      }),
    );
    return `${signal} to ${gateway.name} ${delayMs} ms after its next start`;
  },
  settings(soak) {
    return reloadSettings(soak, pickRandom(soak.exposedGateways, soak.random));
  },
};

/** Returns a random gateway that has not received SIGTERM; any if there is none. */
export function pickRunning({
  exposedGateways,
  random,
}: SoakContext): GatewayProcess {
  const running = exposedGateways.filter(({isStopping}) => !isStopping);
  return pickRandom(running.length > 0 ? running : exposedGateways, random);
}

function reloadSettings(soak: SoakContext, gateway: GatewayProcess): string {
  gateway.rewriteSettings();
  return signalAsPlanned(soak, gateway, 'SIGHUP');
}

/** Sends a signal as planned work; a stop also counts as a disturbance. */
export function signalAsPlanned(
  soak: SoakContext,
  gateway: GatewayProcess,
  signal: 'SIGTERM' | 'SIGHUP',
): string {
  if (signal === 'SIGTERM') recordStop(soak, gateway);
  else recordSignal(soak, gateway, signal);
  gateway.signal(signal);
  return `${signal} to ${gateway.name}`;
}

/** Records that a gateway is made to stop now, as planned work. */
function recordStop(soak: SoakContext, gateway: GatewayProcess): void {
  recordSignal(soak, gateway, 'SIGTERM');
  disturb(soak, SOAK_BOUNDS.grace_s * 1_000 + RESTART_MS, gateway, true);
}

function recordSignal(
  soak: SoakContext,
  gateway: GatewayProcess,
  signal: 'SIGTERM' | 'SIGHUP',
): void {
  const atMs = performance.now();
  soak.plannedSignals.push({gateway: gateway.name, signal, atMs});
}

function between(min: number, max: number, random: () => number): number {
  return min + random() * (max - min);
}
