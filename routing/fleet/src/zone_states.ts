import type {ZoneList, ZoneState} from '@sardinestile/route_table';

/** What a report changes for a zone. */
export interface ZoneChange {
  kind:
    | 'outOfService'
    | 'inService'
    /** The zone stays out of service although the store no longer has its row. */
    | 'rowMissing';
  availabilityZone: string;
  /** Version of the store from which this follows. */
  storeVersion: number;
}

/**
 * States of the availability zones, from reports of the store and of peers in any
 * order. In doubt a zone is out of service: that costs capacity only, whereas a
 * request to a zone that operators took out of service breaks a promise.
 */
export interface ZoneStates {
  /** Applies the state of one zone, unless a newer one is known. */
  apply(state: ZoneState, nowMs: number): ZoneChange[];
  /**
   * Applies the states of all zones. Those that it does not list are in service at its
   * version; a zone that was out of service stays so for the time in which operators
   * write again what a restore of the store has deleted.
   */
  applyList(list: ZoneList, nowMs: number): ZoneChange[];
  /**
   * Records that all changes up to a version, and all that were made before `atMs`, are
   * known. Returns the zones that are back in service, as their rows are still missing.
   */
  confirm(storeVersion: number, atMs: number): ZoneChange[];
  /** Records that the store was restored: operators have the whole time again. */
  recordRestore(nowMs: number): void;
  /** Returns the states of all zones; undefined before the first list. */
  list(): ZoneList | undefined;
  outOfService(): ReadonlySet<string>;
}

interface KnownState {
  isOutOfService: boolean;
  storeVersion: number;
  /** Present if the zone is out of service and a newer list does not have it. */
  missing?: {storeVersion: number; sinceMs: number};
}

/**
 * Creates states without zones. `rewriteTimeMs` is the time in which operators write
 * again what a restore of the store has deleted.
 */
export function createZoneStates(rewriteTimeMs: number): ZoneStates {
  const known = new Map<string, KnownState>();
  /** Version up to which all rows are known; zones that are not known have none. */
  let completeVersion: number | undefined;

  const advance = (storeVersion: number) => {
    completeVersion = Math.max(completeVersion ?? storeVersion, storeVersion);
  };
  const markMissing = (
    availabilityZone: string,
    state: KnownState,
    storeVersion: number,
    nowMs: number,
  ): ZoneChange[] => {
    const isKnown = state.missing !== undefined;
    state.missing ??= {storeVersion, sinceMs: nowMs};
    return isKnown
      ? []
      : [{kind: 'rowMissing', availabilityZone, storeVersion}];
  };
  const apply = (
    {availabilityZone, isOutOfService, storeVersion}: ZoneState,
    nowMs: number,
  ): ZoneChange[] => {
    const previous = known.get(availabilityZone);
    if (previous && storeVersion <= previous.storeVersion) return [];
    const wasOutOfService = previous?.isOutOfService ?? false;
    const state: KnownState = {isOutOfService, storeVersion};
    known.set(availabilityZone, state);
    const changes: ZoneChange[] = [];
    if (isOutOfService !== wasOutOfService) {
      const kind = isOutOfService ? 'outOfService' : 'inService';
      changes.push({kind, availabilityZone, storeVersion});
    }
    if (!isOutOfService) return changes;
    const missing = previous?.missing;
    if (missing && missing.storeVersion > storeVersion) {
      state.missing = missing;
    } else if (!previous && (completeVersion ?? -1) > storeVersion) {
      changes.push(
        ...markMissing(availabilityZone, state, completeVersion!, nowMs),
      );
    }
    return changes;
  };
  return {
    apply,
    applyList({storeVersion, states, unreadableZones}, nowMs) {
      const changes = states.flatMap(state => apply(state, nowMs));
      const listed = new Set([
        ...states.map(({availabilityZone}) => availabilityZone),
        ...unreadableZones,
      ]);
      for (const [availabilityZone, state] of known) {
        if (!state.isOutOfService || listed.has(availabilityZone)) continue;
        if (storeVersion <= state.storeVersion) continue;
        changes.push(
          ...markMissing(availabilityZone, state, storeVersion, nowMs),
        );
      }
      advance(storeVersion);
      return changes;
    },
    confirm(storeVersion, atMs) {
      if (completeVersion === undefined) return [];
      advance(storeVersion);
      const changes: ZoneChange[] = [];
      for (const [availabilityZone, {missing}] of known) {
        if (!missing || atMs < missing.sinceMs + rewriteTimeMs) continue;
        const {storeVersion: missingAt} = missing;
        known.set(availabilityZone, {
          isOutOfService: false,
          storeVersion: missingAt,
        });
        changes.push({
          kind: 'inService',
          availabilityZone,
          storeVersion: missingAt,
        });
      }
      return changes;
    },
    recordRestore(nowMs) {
      for (const {missing} of known.values()) {
        if (missing) missing.sinceMs = nowMs;
      }
    },
    list: () =>
      completeVersion === undefined
        ? undefined
        : {
            storeVersion: completeVersion,
            states: [...known].map(
              ([availabilityZone, {isOutOfService, storeVersion}]) => ({
                availabilityZone,
                isOutOfService,
                storeVersion,
              }),
            ),
            unreadableZones: [],
          },
    outOfService: () =>
      new Set(
        [...known].flatMap(([availabilityZone, {isOutOfService}]) =>
          isOutOfService ? [availabilityZone] : [],
        ),
      ),
  };
}
