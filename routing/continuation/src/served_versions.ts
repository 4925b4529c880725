import {nameMapOf, stringifyNameMaps} from '@sardinestile/types';
import {z} from 'zod';
import {STREAM_LIFETIME_MS, type VersionedUpstream} from './version_history.js';

/** Age at which the time at which a version was last registered is written again, in milliseconds. */
const RENEWAL_INTERVAL_MS = 20_000;

/**
 * Largest difference between the clocks of a gateway that wrote a time and one that
 * reads it, in milliseconds.
 */
const MAX_CLOCK_DIFFERENCE_MS = 10_000;

/**
 * Age at which a version can have begun no stream that may still be resumed, in
 * milliseconds.
 */
const VERSION_LIFETIME_MS =
  STREAM_LIFETIME_MS + RENEWAL_INTERVAL_MS + MAX_CLOCK_DIFFERENCE_MS;

/** Key of upstreams whose version is unknown. */
const UNKNOWN_VERSION = '';

/** Schema of ServedVersions. */
const servedVersionsSchema = z.object({
  /** Store generation in which it was written; a restore may have undone changes of earlier ones. */
  generation: z.number().int(),
  /** Unix time since which the versions are complete; 0 for the whole life of the fleet. */
  completeSinceMs: z.number(),
  /** Unix time at which each version was last registered, by service and version. */
  services: nameMapOf(nameMapOf(z.number())),
});

/** Software versions that served lately, as the gateways of a fleet record them. */
export type ServedVersions = z.infer<typeof servedVersionsSchema>;

/** Decodes the versions; throws if the text does not hold any. */
export function decodeServedVersions(text: string): ServedVersions {
  return servedVersionsSchema.parse(JSON.parse(text));
}

/** Encodes the versions as JSON. */
export function encodeServedVersions(served: ServedVersions): string {
  return stringifyNameMaps(served);
}

/** What a gateway observes when it writes the versions. */
export interface VersionObservation {
  /** All registered upstreams, those that are leaving included. */
  upstreams: readonly VersionedUpstream[];
  /** Generation of the store. */
  generation: number;
  /** Unix time on which the gateways agree, in milliseconds. */
  nowMs: number;
  /** Whether no gateway of this fleet ran before, so that a missing record means that no version served. */
  isFirstStart: boolean;
  /** What this gateway last read or wrote; undefined if it has done neither. */
  known: ServedVersions | undefined;
}

/**
 * Returns the versions to write; undefined if those that are stored need no change.
 * Versions are never lost by it: times only rise, and those of before a restore of the
 * store are taken from what this gateway knew. A version is removed when no stream that
 * it began can be resumed any more.
 */
export function mergeServedVersions(
  stored: ServedVersions | undefined,
  observation: VersionObservation,
): ServedVersions | undefined {
  const {upstreams, generation, nowMs, known} = observation;
  const isCurrent = stored?.generation === generation;
  const services: ServedVersions['services'] = new Map();
  const raise = (service: string, version: string, atMs: number) => {
    const versions = services.get(service) ?? new Map<string, number>();
    versions.set(version, Math.max(versions.get(version) ?? 0, atMs));
    services.set(service, versions);
  };
  let hasChanged = !isCurrent;
  for (const source of [stored, isCurrent ? undefined : known]) {
    for (const [service, versions] of source?.services ?? []) {
      for (const [version, atMs] of versions) {
        if (nowMs - atMs < VERSION_LIFETIME_MS) raise(service, version, atMs);
      }
    }
  }
  for (const {service, softwareVersion} of upstreams) {
    const version = softwareVersion ?? UNKNOWN_VERSION;
    const atMs = services.get(service)?.get(version) ?? 0;
    if (nowMs - atMs < RENEWAL_INTERVAL_MS) continue;
    raise(service, version, nowMs);
    hasChanged = true;
  }
  if (!hasChanged) return undefined;
  return {
    generation,
    completeSinceMs: completeSinceMs(stored, observation),
    services,
  };
}

function completeSinceMs(
  stored: ServedVersions | undefined,
  {generation, nowMs, isFirstStart, known}: VersionObservation,
): number {
  if (!stored) return known?.completeSinceMs ?? (isFirstStart ? 0 : nowMs);
  if (stored.generation === generation) return stored.completeSinceMs;
  // Without own knowledge, changes of just before the restore may be missing.
  return known ? known.completeSinceMs : nowMs;
}

/**
 * Returns the version of all upstreams of a service that may have begun a stream that
 * can still be resumed; undefined if there were several, or if it is not certain.
 */
export function onlyServedVersion(
  stored: ServedVersions | undefined,
  service: string,
  {
    upstreams,
    generation,
    nowMs,
  }: Omit<VersionObservation, 'known' | 'isFirstStart'>,
): string | undefined {
  if (!stored || stored.generation !== generation) return undefined;
  const isComplete =
    stored.completeSinceMs === 0 ||
    nowMs - stored.completeSinceMs >= VERSION_LIFETIME_MS;
  if (!isComplete) return undefined;
  const versions = new Set(
    [...(stored.services.get(service) ?? [])]
      .filter(([, atMs]) => nowMs - atMs < VERSION_LIFETIME_MS)
      .map(([version]) => version),
  );
  for (const upstream of upstreams) {
    if (upstream.service !== service) continue;
    versions.add(upstream.softwareVersion ?? UNKNOWN_VERSION);
  }
  const [version] = versions;
  return versions.size === 1 && version !== UNKNOWN_VERSION
    ? version
    : undefined;
}
