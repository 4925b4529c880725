import type {DivisionChange} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';

/** Most upstreams that a line names; a gateway that moves gets all of another group. */
const MAX_NAMED_UPSTREAMS = 8;

/** Logs and counts a change of the upstreams that the group of this gateway sends to. */
export function reportDivision(
  {service, group, gainedIds, releasedIds, ...change}: DivisionChange,
  logger: Logger,
  metrics: MetricsRegistry,
): void {
  logger.info('upstreams_divided', {
    service,
    isShared: change.isShared,
    group: group.index,
    groups: group.count,
    gateways: group.gateways,
    upstreams: change.upstreams,
    usableUpstreams: change.usableUpstreams,
    gainedCount: gainedIds.length,
    gained: gainedIds.slice(0, MAX_NAMED_UPSTREAMS).join(' '),
    releasedCount: releasedIds.length,
    released: releasedIds.slice(0, MAX_NAMED_UPSTREAMS).join(' '),
    unheardPerSlot: Math.round(change.unheardPerSlot * 100) / 100,
  });
  metrics.increment(
    'sardinestile_upstreams_gained_total',
    {service},
    gainedIds.length,
  );
}
