import {connect} from 'node:net';
import type {Placement} from '@sardinestile/fleet';
import {
  isFingerprint,
  toSharedParts,
  type SharedPart,
} from '@sardinestile/quarantine';
import {
  MIN_FAILURE_STATUS,
  type AttemptOutcome,
  type Call,
} from '../calls/call.js';
import type {GatewayContext} from '../gateway_context.js';

/**
 * Time after the first event for which an upstream has to go on until the request
 * counts as harmless, in milliseconds.
 */
export const HARMLESS_AFTER_MS = 300;

/**
 * Time from a lost connection to the check whether the upstream still listens, in
 * milliseconds; its other connections are lost meanwhile.
 */
const CHECK_DELAY_MS = 30;

/** Time limit for a connection attempt of that check, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Most prompt parts and fingerprints that are reported of one crash. */
const MAX_REPORTED_PARTS = 400;

/** Most ids of each kind in the log line of a crash. */
const MAX_LOGGED_PARTS = 20;

/** An attempt that ended, with the time at which its response began. */
export interface WatchedAttempt {
  call: Call;
  placement: Placement;
  outcome: AttemptOutcome;
  /** Time of the first event; undefined if there was none. */
  firstEventAtMs: number | undefined;
  endedAtMs: number;
}

/** Requests of one upstream whose connections ended, for a reason that is not known yet. */
interface Loss {
  placement: Placement;
  /** Time of the first loss, in Unix milliseconds on which the gateways agree. */
  atMs: number;
  /** Prompt parts and fingerprints of the requests that were not answered, by id. */
  parts: Map<string, SharedPart>;
  /** Calls whose responses look complete. */
  answered: Call[];
}

/** Tells upstreams that crashed apart from lost connections. */
export interface CrashWatch {
  /** Records the end of an attempt, which may be an answer or a sign of a crash. */
  observe(attempt: WatchedAttempt): void;
}

/**
 * Creates a watch. If an upstream refuses connections just after it lost one, it
 * has crashed, and the requests that it had not yet answered are reported as
 * evidence, by their fingerprints and prompt parts. A reset connection, a cut link
 * and an upstream that leaves as planned are no crashes.
 */
export function createCrashWatch(context: GatewayContext): CrashWatch {
  /** Lost requests by upstream, until its check. */
  const losses = new Map<string, Loss>();

  const recordAnswer = ({profile}: Call) =>
    context.quarantine.recordAnswer(profile);
  const reportCrash = ({placement, atMs, parts}: Loss) => {
    const {id, startedAtWallMs, service} = placement.upstream;
    context.metrics.increment('sardinestile_upstream_crashes_total', {service});
    context.logger.warn('upstream_crashed', {
      upstream: id,
      ...describeParts([...parts.keys()]),
    });
    context.quarantine.record(
      {
        kind: 'crash',
        upstreamId: id,
        startedAtWallMs,
        atMs,
        parts: [...parts.values()].slice(0, MAX_REPORTED_PARTS),
      },
      'own',
    );
  };
  const check = async (loss: Loss) => {
    const {id, address} = loss.placement.upstream;
    const isRefused = await refusesConnections(address);
    losses.delete(id);
    const isLeaving = context.fleet.membership.get(id)?.isLeaving ?? true;
    if (!isRefused) loss.answered.forEach(recordAnswer);
    else if (!isLeaving) reportCrash(loss);
  };
  const recordLoss = (attempt: WatchedAttempt) => {
    const {placement} = attempt;
    const {id} = placement.upstream;
    let loss = losses.get(id);
    if (!loss) {
      const atMs = Math.round(context.fleetTimeMs());
      const first: Loss = {placement, atMs, parts: new Map(), answered: []};
      losses.set(id, first);
      setTimeout(() => void check(first), CHECK_DELAY_MS);
      loss = first;
    }
    if (isAnswer(attempt)) loss.answered.push(attempt.call);
    if (isHarmless(attempt)) return;
    for (const part of toSharedParts(attempt.call.profile)) {
      loss.parts.set(part.id, part);
    }
  };
  return {
    observe(attempt) {
      const {outcome, call} = attempt;
      const isLost = outcome.kind === 'unknown' && outcome.lostConnection;
      // An upstream that crashes between two events ends such a response in order.
      const mayHideCrash = isCloseDelimited(outcome) && !isHarmless(attempt);
      if (isLost || (isAnswer(attempt) && mayHideCrash)) recordLoss(attempt);
      else if (isAnswer(attempt)) recordAnswer(call);
    },
  };
}

/** Log fields that name the requests of a crash, or the first ones of many. */
function describeParts(ids: readonly string[]) {
  const promptParts = ids.filter(id => !isFingerprint(id));
  const fingerprints = ids.filter(isFingerprint);
  return {
    requests: fingerprints.length,
    promptParts: promptParts.slice(0, MAX_LOGGED_PARTS).join(','),
    fingerprints: fingerprints.slice(0, MAX_LOGGED_PARTS).join(','),
  };
}

/** Whether the upstream went on for long after it had begun to answer. */
function isHarmless({firstEventAtMs, endedAtMs}: WatchedAttempt): boolean {
  return (
    firstEventAtMs !== undefined &&
    endedAtMs - firstEventAtMs >= HARMLESS_AFTER_MS
  );
}

/** Whether the upstream answered the request, completely as far as can be seen. */
function isAnswer({outcome, call, firstEventAtMs}: WatchedAttempt): boolean {
  if (outcome.kind === 'heldAnswer') {
    return outcome.response.status < MIN_FAILURE_STATUS;
  }
  const isStream = call.route.kind === 'stream';
  return (
    outcome.kind === 'answered' && (!isStream || firstEventAtMs !== undefined)
  );
}

function isCloseDelimited(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'heldAnswer') return outcome.response.isCloseDelimited;
  return outcome.kind === 'answered' && outcome.isCloseDelimited;
}

/** Whether nothing listens at the address, rather than that it is unreachable. */
function refusesConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
    socket.once('connect', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED'),
    );
  });
}
