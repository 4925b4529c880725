import {connect} from 'node:net';
import type {Placement} from '@sardinestile/fleet';
import {toSharedParts, type SharedPart} from '@sardinestile/quarantine';
import type {AttemptOutcome, Call} from './call.js';
import type {GatewayContext} from './gateway_context.js';

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

/** Most prompt parts that are reported of one crash. */
const MAX_REPORTED_PARTS = 40;

/** An attempt that ended, with the time at which its response began. */
export interface WatchedAttempt {
  call: Call;
  placement: Placement;
  outcome: AttemptOutcome;
  /** Time of the first event; undefined if there was none. */
  firstEventAtMs: number | undefined;
  endedAtMs: number;
}

/** Requests of one upstream whose connections were lost. */
interface Loss {
  placement: Placement;
  /** Time of the first loss, in Unix milliseconds on which the gateways agree. */
  atMs: number;
  /** Parts of the requests that were not answered, by id. */
  parts: Map<string, SharedPart>;
}

/** Tells upstreams that crashed apart from lost connections. */
export interface CrashWatch {
  /** Records the end of an attempt, which may be a sign of a crash. */
  observe(attempt: WatchedAttempt): void;
}

/**
 * Creates a watch. If an upstream refuses connections just after it lost one, it
 * has crashed, and the prompt parts of the requests that it had not yet answered
 * are reported as evidence. A reset connection, a cut link and an upstream that
 * leaves as planned are no crashes.
 */
export function createCrashWatch(context: GatewayContext): CrashWatch {
  /** Lost requests by upstream, until its check. */
  const losses = new Map<string, Loss>();

  const reportCrash = ({placement, atMs, parts}: Loss) => {
    const {id, startedAtWallMs, service} = placement.upstream;
    context.metrics.increment('sardinestile_upstream_crashes_total', {service});
    context.logger.warn('upstream_crashed', {
      upstream: id,
      promptParts: [...parts.keys()].join(','),
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
    if (isRefused && !isLeaving) reportCrash(loss);
  };
  return {
    observe({call, placement, outcome, firstEventAtMs, endedAtMs}) {
      if (outcome.kind !== 'unknown' || !outcome.lostConnection) return;
      const shared = toSharedParts(call.requestMetadata.promptParts);
      if (shared.length === 0) return;
      const {id} = placement.upstream;
      const isHarmless =
        firstEventAtMs !== undefined &&
        endedAtMs - firstEventAtMs >= HARMLESS_AFTER_MS;
      let loss = losses.get(id);
      if (!loss) {
        const atMs = Math.round(context.fleetTimeMs());
        const first: Loss = {placement, atMs, parts: new Map()};
        losses.set(id, first);
        setTimeout(() => void check(first), CHECK_DELAY_MS);
        loss = first;
      }
      if (isHarmless) return;
      for (const part of shared) loss.parts.set(part.id, part);
    },
  };
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
