import {
  createRecentValuesCodec,
  listRecentValues,
  type NamedValue,
  type RecentValues,
  type ValueObservation,
} from './recent_values.js';
import type {VersionedUpstream} from './version_history.js';

/** Version of upstreams whose version is unknown. */
const UNKNOWN_VERSION = '';

/** Codec of the software versions that served lately, by service. */
export const servedVersionsCodec = createRecentValuesCodec('services');

/** Returns the versions of upstreams by service. */
export function namedVersions(
  upstreams: readonly VersionedUpstream[],
): NamedValue[] {
  return upstreams.map(({service, softwareVersion}) => ({
    name: service,
    value: softwareVersion ?? UNKNOWN_VERSION,
  }));
}

/**
 * Returns the version of all upstreams of a service that may have begun a stream that
 * can still be resumed; undefined if there were several, or if it is not certain.
 */
export function onlyServedVersion(
  stored: RecentValues | undefined,
  service: string,
  observation: ValueObservation,
): string | undefined {
  const [version, ...others] =
    listRecentValues(stored, service, observation) ?? [];
  return others.length === 0 && version !== UNKNOWN_VERSION
    ? version
    : undefined;
}
