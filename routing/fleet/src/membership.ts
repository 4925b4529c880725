import type {UpstreamRecord} from './fleet_types.js';
import {createStartMemory} from './start_memory.js';

/**
 * Time for which upstreams whose registration expired during a store outage are
 * kept after the store is reachable again. Live upstreams register again within
 * about two seconds.
 */
const REGISTRATION_GRACE_MS = 2_300;

/**
 * Upstreams that exist, as far as this gateway knows. Of several records with
 * one address, the one with the latest start is used.
 */
export interface Membership {
  /** Replaces all records by the current content of the store. */
  replaceAll(records: readonly UpstreamRecord[], nowMs: number): void;
  /** Adds or updates a record. */
  put(record: UpstreamRecord, nowMs: number): void;
  /**
   * Removes a record that was deleted or became unusable. Shortly after a store
   * failure, the record is kept until the upstream had time to register again.
   */
  remove(id: string, nowMs: number): void;
  /**
   * Records that an upstream stated itself that it is leaving. It takes no new
   * requests from then on, whatever the store contains; a later start under the
   * same id is another upstream. Returns whether this was not known.
   */
  markLeaving(
    upstream: Pick<UpstreamRecord, 'id' | 'startedAtWallMs'>,
  ): boolean;
  /** Records that the store could not be read. */
  recordStoreFailure(nowMs: number): void;
  /**
   * Records that the store was restored from a copy. For the time that upstreams
   * need to register again, registrations that are gone are kept, and those that
   * were draining or removed before are not used.
   */
  recordRestore(nowMs: number): void;
  /**
   * Removes upstreams that did not register again in time after a store outage.
   * Returns whether any were removed.
   */
  removeExpired(nowMs: number): boolean;
  /** Whether any upstreams are kept that the store no longer contains. */
  hasRemovedUpstreams(): boolean;
  get(id: string): UpstreamRecord | undefined;
  /** Sets the availability zones whose upstreams get no new requests. */
  setZonesOutOfService(zones: ReadonlySet<string>): void;
  /** Whether the zone of an upstream may get new requests. */
  isZoneInService(record: UpstreamRecord): boolean;
  /** Returns whether each zone that has upstreams, or was out of service, is in service. */
  zones(): ReadonlyMap<string, boolean>;
  /**
   * Whether the upstreams of a service would take new requests, but the zones of all of
   * them are out of service.
   */
  isServiceOutOfService(service: string): boolean;
  /**
   * Returns the upstreams of a service that take new requests, without those in zones
   * that are out of service.
   */
  usableUpstreamsOf(service: string): readonly UpstreamRecord[];
  /** Returns all upstreams, including those that are draining. */
  all(): readonly UpstreamRecord[];
}

/** Creates an empty membership; `onRecord` receives each record that is read. */
export function createMembership(
  onRecord: (record: UpstreamRecord, nowMs: number) => void = () => undefined,
): Membership {
  const records = new Map<string, UpstreamRecord>();
  /**
   * Times at which records that expired during a store outage are removed, by
   * upstream id.
   */
  const keptUntilMs = new Map<string, number>();
  /** Upstreams that stated themselves that they are leaving. */
  const statedLeaving = createStartMemory();
  /** Upstreams whose registrations were draining or removed. */
  const outOfUse = createStartMemory();
  let lastFailureAtMs = -Infinity;
  let lastRestoreAtMs = -Infinity;
  let usable = new Map<string, UpstreamRecord[]>();
  let zonesOutOfService: ReadonlySet<string> = new Set();
  const zonesEverOut = new Set<string>();
  /** Services with upstreams that are not usable only because of their zone. */
  let servicesInZonesOut = new Set<string>();

  const isZoneInService = ({availabilityZone}: UpstreamRecord) =>
    !zonesOutOfService.has(availabilityZone);
  const rebuildUsable = () => {
    usable = new Map();
    servicesInZonesOut = new Set();
    const byAddress = new Map<string, UpstreamRecord>();
    for (const record of records.values()) {
      const other = byAddress.get(record.address);
      if (!other || other.startedAtWallMs <= record.startedAtWallMs) {
        byAddress.set(record.address, record);
      }
    }
    for (const record of byAddress.values()) {
      if (record.isLeaving) continue;
      if (!isZoneInService(record)) {
        servicesInZonesOut.add(record.service);
        continue;
      }
      const list = usable.get(record.service);
      if (list) list.push(record);
      else usable.set(record.service, [record]);
    }
  };
  const deleteRecord = (id: string) => {
    const record = records.get(id);
    if (record) outOfUse.remember(record);
    records.delete(id);
  };
  /**
   * Returns the record, as leaving if the upstream stated that, or if only a
   * restore of the store has undone its leaving or removal.
   */
  const withKnownLeaving = (
    record: UpstreamRecord,
    nowMs: number,
  ): UpstreamRecord => {
    if (record.isLeaving) {
      outOfUse.remember(record);
      return record;
    }
    const isJustRestored = nowMs - lastRestoreAtMs < REGISTRATION_GRACE_MS;
    const isLeaving =
      statedLeaving.includes(record) ||
      (isJustRestored && outOfUse.includes(record));
    return isLeaving ? {...record, isLeaving} : record;
  };
  const removeOrDefer = (id: string, nowMs: number) => {
    const sinceFailureMs = nowMs - lastFailureAtMs;
    if (sinceFailureMs >= REGISTRATION_GRACE_MS) {
      deleteRecord(id);
      return;
    }
    if (!keptUntilMs.has(id)) {
      keptUntilMs.set(id, lastFailureAtMs + REGISTRATION_GRACE_MS);
    }
  };
  return {
    replaceAll(current, nowMs) {
      const present = new Set(current.map(({id}) => id));
      for (const id of [...records.keys()]) {
        if (!present.has(id)) removeOrDefer(id, nowMs);
      }
      for (const record of current) {
        records.set(record.id, withKnownLeaving(record, nowMs));
        keptUntilMs.delete(record.id);
        onRecord(record, nowMs);
      }
      rebuildUsable();
    },
    put(registered, nowMs) {
      const record = withKnownLeaving(registered, nowMs);
      const previous = records.get(record.id);
      records.set(record.id, record);
      keptUntilMs.delete(record.id);
      onRecord(record, nowMs);
      const isSame =
        previous?.address === record.address &&
        previous.isLeaving === record.isLeaving &&
        previous.service === record.service &&
        previous.availabilityZone === record.availabilityZone &&
        previous.startedAtWallMs === record.startedAtWallMs &&
        previous.softwareVersion === record.softwareVersion;
      if (!isSame) rebuildUsable();
    },
    remove(id, nowMs) {
      if (!records.has(id)) return;
      removeOrDefer(id, nowMs);
      rebuildUsable();
    },
    markLeaving(upstream) {
      if (!statedLeaving.remember(upstream)) return false;
      const record = records.get(upstream.id);
      if (record && statedLeaving.includes(record)) {
        records.set(record.id, {...record, isLeaving: true});
        rebuildUsable();
      }
      return true;
    },
    recordStoreFailure(nowMs) {
      lastFailureAtMs = nowMs;
    },
    recordRestore(nowMs) {
      lastRestoreAtMs = nowMs;
      lastFailureAtMs = nowMs;
    },
    removeExpired(nowMs) {
      const before = records.size;
      for (const [id, untilMs] of keptUntilMs) {
        const limitMs = Math.max(
          untilMs,
          lastFailureAtMs + REGISTRATION_GRACE_MS,
        );
        if (nowMs < limitMs) continue;
        keptUntilMs.delete(id);
        deleteRecord(id);
        rebuildUsable();
      }
      return records.size < before;
    },
    hasRemovedUpstreams: () => keptUntilMs.size > 0,
    get: id => records.get(id),
    setZonesOutOfService(zones) {
      zonesOutOfService = zones;
      zones.forEach(zone => zonesEverOut.add(zone));
      rebuildUsable();
    },
    isZoneInService,
    zones() {
      const names = [...records.values()].map(
        record => record.availabilityZone,
      );
      return new Map(
        [...names, ...zonesEverOut].map(zone => [
          zone,
          !zonesOutOfService.has(zone),
        ]),
      );
    },
    isServiceOutOfService: service =>
      servicesInZonesOut.has(service) && !usable.has(service),
    usableUpstreamsOf: service => usable.get(service) ?? [],
    all: () => [...records.values()],
  };
}
