import type {UpstreamCrash} from './evidence_item.js';
import {isFingerprint} from './request_profile.js';

/** Crashes by their suspects. */
export interface CrashIndex {
  add(crash: UpstreamCrash): void;
  /** Removes a crash that was added. */
  remove(crash: UpstreamCrash): void;
  /** Returns the crashes in which a part was a suspect. */
  of(partId: string): readonly UpstreamCrash[];
  /** Whether some suspect is a whole request. */
  namesRequests(): boolean;
}

/** Creates an empty index. */
export function createCrashIndex(): CrashIndex {
  const crashesByPart = new Map<string, UpstreamCrash[]>();
  let requests = 0;
  return {
    add(crash) {
      for (const {id} of crash.parts) {
        const crashes = crashesByPart.get(id);
        if (crashes) {
          crashes.push(crash);
          continue;
        }
        crashesByPart.set(id, [crash]);
        if (isFingerprint(id)) requests++;
      }
    },
    remove(crash) {
      for (const {id} of crash.parts) {
        const others = crashesByPart.get(id)?.filter(other => other !== crash);
        if (!others) continue;
        if (others.length > 0) {
          crashesByPart.set(id, others);
          continue;
        }
        crashesByPart.delete(id);
        if (isFingerprint(id)) requests--;
      }
    },
    of: partId => crashesByPart.get(partId) ?? [],
    namesRequests: () => requests > 0,
  };
}
