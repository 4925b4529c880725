import type {UpstreamRecord} from './fleet_types.js';

/** Most upstreams that are remembered. */
const MAX_REMEMBERED = 20_000;

type Upstream = Pick<UpstreamRecord, 'id' | 'startedAtWallMs'>;

/** Remembers upstreams beyond their registrations, the latest ones up to a limit. */
export interface StartMemory {
  /** Returns whether the upstream was not remembered before. */
  remember(upstream: Upstream): boolean;
  /** Whether the upstream is remembered; one with the same id and a later start is another. */
  includes(upstream: Upstream): boolean;
}

/** Creates a memory without upstreams. */
export function createStartMemory(): StartMemory {
  const startedAtMs = new Map<string, number>();
  const includes = ({id, startedAtWallMs}: Upstream) => {
    const known = startedAtMs.get(id);
    return known !== undefined && startedAtWallMs <= known;
  };
  return {
    includes,
    remember(upstream) {
      if (includes(upstream)) return false;
      const {id, startedAtWallMs} = upstream;
      startedAtMs.delete(id);
      startedAtMs.set(id, startedAtWallMs);
      if (startedAtMs.size > MAX_REMEMBERED) {
        const [oldest] = startedAtMs.keys();
        startedAtMs.delete(oldest);
      }
      return true;
    },
  };
}
