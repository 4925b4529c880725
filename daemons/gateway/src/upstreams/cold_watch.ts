import type {
  UpstreamFleet,
  UpstreamRecord,
  UpstreamStart,
} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {EvidenceItem} from '@sardinestile/quarantine';
import type {Clock} from '@sardinestile/types';
import type {AttemptOutcome} from '../calls/call.js';

/** Options for `createColdWatch`. */
export interface ColdWatchOptions {
  fleet: UpstreamFleet;
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
}

/** Records lost upstreams, and logs which ones are cold or may have restarted. */
export interface ColdWatch {
  /** Records the outcome of an attempt, which may show that the upstream was lost. */
  observe(outcome: AttemptOutcome, upstream: UpstreamRecord): void;
  /** Records a crash that a peer saw. */
  recordEvidence(item: EvidenceItem): void;
  /** Ends doubts by the age of the list of upstreams, and logs changes; called at short intervals. */
  update(listAgeMs: number): void;
}

/** Creates a watch. */
export function createColdWatch({
  fleet,
  clock,
  logger,
  metrics,
}: ColdWatchOptions): ColdWatch {
  const {coldUpstreams, membership} = fleet;
  let loggedCold = new Set<string>();
  const recordLoss = (upstream: UpstreamStart, reason: string) => {
    if (!coldUpstreams.recordLoss(upstream, clock.monotonicMs())) return;
    const service = membership.get(upstream.id)?.service ?? '';
    metrics.increment('sardinestile_upstream_doubts_total', {service});
    logger.info('upstream_in_doubt', {upstream: upstream.id, reason});
  };
  const logColdChanges = (nowMs: number) => {
    const cold = new Set<string>();
    for (const record of membership.all()) {
      const {id, coldMs, availabilityZone} = record;
      const limitPerS = coldUpstreams.ratePerS(record, nowMs);
      if (limitPerS === undefined) continue;
      cold.add(id);
      if (loggedCold.has(id)) continue;
      const isInDoubt = coldUpstreams.isInDoubt(record);
      logger.info('upstream_cold', {
        upstream: id,
        limitPerS,
        coldMs,
        isInDoubt,
        availabilityZone,
      });
    }
    for (const upstream of loggedCold) {
      if (!cold.has(upstream)) logger.info('upstream_warm', {upstream});
    }
    loggedCold = cold;
  };
  return {
    observe(outcome, upstream) {
      const isLost = outcome.kind === 'unknown' && outcome.lostConnection;
      if (outcome.kind === 'notSent' || isLost) {
        recordLoss(upstream, outcome.reason);
      }
    },
    recordEvidence(item) {
      if (item.kind !== 'crash') return;
      const {upstreamId: id, startedAtWallMs} = item;
      recordLoss({id, startedAtWallMs}, 'a peer saw it crash');
    },
    update(listAgeMs) {
      const nowMs = clock.monotonicMs();
      const ended = coldUpstreams.recordListRead(nowMs - listAgeMs, nowMs);
      for (const {id} of ended) {
        logger.info('upstream_doubt_ended', {
          upstream: id,
          listAgeMs: Math.round(listAgeMs),
        });
      }
      logColdChanges(nowMs);
    },
  };
}
