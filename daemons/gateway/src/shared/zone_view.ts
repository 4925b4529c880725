import {
  createZoneStates,
  type UpstreamFleet,
  type ZoneChange,
} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {ZoneList, ZoneRecord} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';

/** Where a report came from. */
export type ReportSource = 'store' | 'peer';

/** Log event of each change. */
const CHANGE_EVENTS = {
  outOfService: 'zone_out_of_service',
  inService: 'zone_in_service',
  rowMissing: 'zone_row_missing',
} as const satisfies Record<ZoneChange['kind'], string>;

/** Availability zones that operators took out of service, as this gateway knows them. */
export interface ZoneView {
  /** Applies a record from the store, or the states that a peer reports. */
  apply(record: ZoneRecord, source: ReportSource): void;
  /**
   * Records that all changes up to a version, and all that were made before `atMs`, are
   * known.
   */
  confirm(storeVersion: number, atMs: number, source: ReportSource): void;
  /** Records that the store was restored from a copy. */
  recordRestore(): void;
  /** Logs each zone that is out of service and has no upstream, once. */
  reportUnknownZones(): void;
  /** Returns the states of all zones for a peer; undefined before they were read. */
  list(): ZoneList | undefined;
}

/** Options for `createZoneView`. */
export interface ZoneViewOptions {
  fleet: UpstreamFleet;
  /** Time in which operators write again what a restore has deleted, in milliseconds. */
  rewriteTimeMs: number;
  /** Called when a zone went out of service or returned. */
  onChanged: () => void;
  clock: Clock;
  logger: Logger;
}

/** Creates a view in which all zones are in service. */
export function createZoneView(options: ZoneViewOptions): ZoneView {
  const {fleet, clock, logger} = options;
  const states = createZoneStates(options.rewriteTimeMs);
  /** Version and reason of the last rejection, by row. */
  const rejections = new Map<string, string>();
  const reportedUnknown = new Set<string>();

  const applyChanges = (
    changes: readonly ZoneChange[],
    source: ReportSource,
  ) => {
    for (const {kind, ...change} of changes) {
      logger.info(CHANGE_EVENTS[kind], {...change, source});
    }
    const switched = changes.filter(({kind}) => kind !== 'rowMissing');
    if (switched.length === 0) return;
    const out = states.outOfService();
    fleet.membership.setZonesOutOfService(out);
    for (const {kind, availabilityZone} of switched) {
      if (kind !== 'inService') continue;
      reportedUnknown.delete(availabilityZone);
      fleet.recordZoneReturn(availabilityZone, clock.monotonicMs());
    }
    options.onChanged();
  };
  /** Logs an invalid row once, however often it is read. */
  const reject = ({
    row,
    reason,
    storeVersion,
  }: Extract<ZoneRecord, {kind: 'invalidZone'}>) => {
    const rejection = `${storeVersion} ${reason}`;
    if (rejections.get(row) === rejection) return;
    rejections.set(row, rejection);
    logger.warn('zone_rejected', {row, reason, storeVersion});
  };
  return {
    apply(record, source) {
      const nowMs = clock.monotonicMs();
      if (record.kind === 'invalidZone') reject(record);
      else if (record.kind === 'zone') {
        applyChanges(states.apply(record.state, nowMs), source);
      } else applyChanges(states.applyList(record.list, nowMs), source);
    },
    confirm(storeVersion, atMs, source) {
      applyChanges(states.confirm(storeVersion, atMs), source);
    },
    recordRestore: () => states.recordRestore(clock.monotonicMs()),
    reportUnknownZones() {
      const out = states.outOfService();
      if (out.size === 0) return;
      const zones = new Set(
        fleet.membership.all().map(record => record.availabilityZone),
      );
      for (const availabilityZone of out) {
        const isUnknown = !zones.has(availabilityZone);
        if (!isUnknown || reportedUnknown.has(availabilityZone)) continue;
        reportedUnknown.add(availabilityZone);
        logger.warn('zone_unknown', {
          availabilityZone,
          reason: 'the zone is out of service and no upstream is in it',
        });
      }
    },
    list: () => states.list(),
  };
}
