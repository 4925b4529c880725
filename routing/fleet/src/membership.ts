import type {UpstreamRecord} from './fleet_types.js';

/**
 * Time after the store came back for which upstreams that lapsed meanwhile are
 * kept, in milliseconds. Live ones register again within about two seconds.
 */
const REGISTRATION_GRACE_MS = 2_300;

/** What is believed of which upstreams exist. */
export interface Membership {
  /** Replaces everything that is known by what the store holds now. */
  replaceAll(records: readonly UpstreamRecord[], nowMs: number): void;
  put(record: UpstreamRecord): void;
  /** Notes that an entry was removed or became unusable. */
  remove(id: string, nowMs: number): void;
  /** Notes that the store could not be read. */
  noteStoreFailure(nowMs: number): void;
  /** Drops upstreams that have not come back since the store did; returns whether there were any. */
  expire(nowMs: number): boolean;
  /** Whether upstreams are kept that the store no longer has. */
  hasLapsed(): boolean;
  get(id: string): UpstreamRecord | undefined;
  /** Upstreams of a service that take new requests. */
  usableOf(service: string): readonly UpstreamRecord[];
  /** Every upstream that is known. */
  all(): readonly UpstreamRecord[];
}

/** Makes an empty membership. */
export function createMembership(): Membership {
  const records = new Map<string, UpstreamRecord>();
  /** When each entry that lapsed during an outage is given up. */
  const lapsedUntilMs = new Map<string, number>();
  let lastFailureAtMs = -Infinity;
  let usable = new Map<string, UpstreamRecord[]>();

  const rebuild = () => {
    usable = new Map();
    const byAddress = new Map<string, UpstreamRecord>();
    for (const record of records.values()) {
      const other = byAddress.get(record.address);
      if (!other || other.startedAtWallMs <= record.startedAtWallMs) {
        byAddress.set(record.address, record);
      }
    }
    for (const record of byAddress.values()) {
      if (record.isLeaving) continue;
      const list = usable.get(record.service);
      if (list) list.push(record);
      else usable.set(record.service, [record]);
    }
  };
  const lapse = (id: string, nowMs: number) => {
    const sinceFailureMs = nowMs - lastFailureAtMs;
    if (sinceFailureMs >= REGISTRATION_GRACE_MS) {
      records.delete(id);
      return;
    }
    if (!lapsedUntilMs.has(id)) {
      lapsedUntilMs.set(id, lastFailureAtMs + REGISTRATION_GRACE_MS);
    }
  };
  return {
    replaceAll(current, nowMs) {
      const present = new Set(current.map(({id}) => id));
      for (const id of [...records.keys()]) {
        if (!present.has(id)) lapse(id, nowMs);
      }
      for (const record of current) {
        records.set(record.id, record);
        lapsedUntilMs.delete(record.id);
      }
      rebuild();
    },
    put(record) {
      const known = records.get(record.id);
      records.set(record.id, record);
      lapsedUntilMs.delete(record.id);
      const isSame =
        known?.address === record.address &&
        known.isLeaving === record.isLeaving &&
        known.service === record.service &&
        known.startedAtWallMs === record.startedAtWallMs;
      if (!isSame) rebuild();
    },
    remove(id, nowMs) {
      if (!records.has(id)) return;
      lapse(id, nowMs);
      rebuild();
    },
    noteStoreFailure(nowMs) {
      lastFailureAtMs = nowMs;
    },
    expire(nowMs) {
      const before = records.size;
      for (const [id, untilMs] of lapsedUntilMs) {
        const limitMs = Math.max(
          untilMs,
          lastFailureAtMs + REGISTRATION_GRACE_MS,
        );
        if (nowMs < limitMs) continue;
        lapsedUntilMs.delete(id);
        records.delete(id);
        rebuild();
      }
      return records.size < before;
    },
    hasLapsed: () => lapsedUntilMs.size > 0,
    get: id => records.get(id),
    usableOf: service => usable.get(service) ?? [],
    all: () => [...records.values()],
  };
}
