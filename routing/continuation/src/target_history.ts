import {VALUE_LIFETIME_MS, type NamedValue} from './recent_values.js';

/** Targets of a route, encoded as text. */
export interface RouteTargets {
  route: string;
  targets: string;
  /** Whether the route leads to more than one service. */
  isSplit: boolean;
}

/** Targets of routes that say which service may have begun a stream, as a gateway saw them. */
export interface TargetHistory {
  /** Records the targets of all routes whose streams can be resumed, when they may have changed. */
  observe(routes: readonly RouteTargets[], nowMs: number): void;
  /**
   * Returns the targets of routes that are split or that have changed lately. The targets of
   * any other route are those of now.
   */
  recent(nowMs: number): NamedValue[];
}

/** Creates an empty history. Times are monotonic, in milliseconds. */
export function createTargetHistory(): TargetHistory {
  let current: ReadonlyMap<string, RouteTargets> = new Map();
  /** Time until which each route had targets that it has no more. */
  const replaced = new Map<string, Map<string, number>>();
  const recordReplaced = ({route, targets}: RouteTargets, nowMs: number) => {
    const times = replaced.get(route) ?? new Map<string, number>();
    replaced.set(route, times.set(targets, nowMs));
  };
  return {
    observe(routes, nowMs) {
      const next = new Map(routes.map(other => [other.route, other]));
      for (const before of current.values()) {
        const {targets} = next.get(before.route) ?? {};
        if (targets !== before.targets) recordReplaced(before, nowMs);
      }
      current = next;
    },
    recent(nowMs) {
      for (const [route, times] of replaced) {
        for (const [targets, untilMs] of times) {
          if (nowMs - untilMs > VALUE_LIFETIME_MS) times.delete(targets);
        }
        if (times.size === 0) replaced.delete(route);
      }
      const values: NamedValue[] = [];
      for (const {route, targets, isSplit} of current.values()) {
        if (isSplit || replaced.has(route)) {
          values.push({name: route, value: targets});
        }
      }
      for (const [name, times] of replaced) {
        for (const value of times.keys()) values.push({name, value});
      }
      return values;
    },
  };
}
