import type {UpstreamRecord} from './fleet_types.js';

/** What identifies one start of an upstream. */
export type UpstreamStart = Pick<UpstreamRecord, 'id' | 'startedAtWallMs'>;

/** Returns a key of an upstream; a later start under the same id is another one. */
export function upstreamKey({id, startedAtWallMs}: UpstreamStart): string {
  return `${startedAtWallMs} ${id}`;
}
