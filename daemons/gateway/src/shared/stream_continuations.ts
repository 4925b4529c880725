import {
  createStreamOrigins,
  createVersionHistory,
  type StreamOrigins,
} from '@sardinestile/continuation';
import {divideIntoGroups, type Membership} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {PeerClient, StreamVersion} from '@sardinestile/peer';
import type {Clock} from '@sardinestile/types';
import type {RegisteredGateway} from './peer_registry.js';
import type {ServedVersionStore} from './served_version_store.js';
import {shuffle} from './shuffle.js';

/** Interval at which the versions of the upstreams are observed, in milliseconds. */
const OBSERVATION_INTERVAL_MS = 1_000;

/**
 * Time for the answers of other gateways and of the store, in milliseconds. A busy one may take a while,
 * and a caller loses more by a refusal than by the wait.
 */
const ANSWER_LIMIT_MS = 400;

/**
 * Gateways of each group that are asked. Every gateway of a group is told of the
 * streams that the others begin, but one may be lost and another one not have heard.
 */
const ASKED_PER_GROUP = 3;

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** Request that brought its first event; absent if the caller names none. */
  requestId: string | undefined;
  service: string;
}

/** Options for `createStreamContinuations`. */
export interface StreamContinuationsOptions {
  instance: string;
  membership: Membership;
  /** Upper bound of the age of the list of upstreams, in milliseconds. */
  upstreamsAgeMs: () => number;
  /** Greatest age at which the list counts as up to date, in milliseconds. */
  maxUpstreamsAgeMs: number;
  /** All registered gateways of the fleet. */
  registeredGateways: () => readonly RegisteredGateway[];
  fetchStreamVersion: PeerClient['fetchStreamVersion'];
  /** Versions that served before this process started. */
  servedVersions: ServedVersionStore;
  clock: Clock;
  logger: Logger;
}

/** Knowledge of the software versions at which streams have to go on. */
export interface StreamContinuations {
  readonly origins: StreamOrigins;
  /** Returns the version at which a stream has to go on, as far as this gateway knows. */
  knownVersion(stream: ResumedStream): string | undefined;
  /** Returns that version, asking other gateways if this one does not know it. */
  findVersion(stream: ResumedStream): Promise<string | undefined>;
  /** Observes which versions serve; called at short intervals. */
  observeVersions(): void;
}

/** Creates the knowledge of a gateway that has just started. */
export function createStreamContinuations(
  options: StreamContinuationsOptions,
): StreamContinuations {
  const {instance, membership, clock, logger} = options;
  const origins = createStreamOrigins();
  const history = createVersionHistory();
  let observedAtMs = -Infinity;

  const observeNow = () => {
    if (options.upstreamsAgeMs() > options.maxUpstreamsAgeMs) return;
    observedAtMs = clock.monotonicMs();
    history.observe(membership.all(), observedAtMs);
  };
  const knownVersion = ({requestId, service}: ResumedStream) => {
    const nowMs = clock.monotonicMs();
    const origin =
      requestId === undefined ? undefined : origins.versionOf(requestId, nowMs);
    if (origin !== undefined) return origin;
    observeNow();
    return history.onlyVersion(service, nowMs);
  };
  const chooseGateways = () => {
    const gateways = options.registeredGateways();
    return divideIntoGroups(gateways, gateway => gateway.instance).flatMap(
      group =>
        shuffle(group.filter(gateway => gateway.instance !== instance)).slice(
          0,
          ASKED_PER_GROUP,
        ),
    );
  };
  const askGateways = async (stream: {requestId: string; service: string}) => {
    const answers = chooseGateways().map(({address: {host, port}}) =>
      options.fetchStreamVersion(`${host}:${port}`, stream),
    );
    // Gateways that are lost, or know no more than this one, are the usual case.
    const answered: Promise<StreamVersion | undefined> = Promise.any(
      answers,
    ).catch((error: AggregateError) => {
      const operation = 'ask for the software version of a stream';
      const reason = error.errors.map(String).join('; ') || 'no other gateway';
      logger.info('peer_failed', {operation, reason});
      return undefined;
    });
    return (await within(answered))?.softwareVersion;
  };
  return {
    origins,
    knownVersion,
    async findVersion(stream) {
      const {requestId, service} = stream;
      const known = knownVersion(stream);
      if (known !== undefined) return known;
      const only = options.servedVersions.onlyVersion(service);
      if (requestId === undefined) return within(only);
      // Other gateways may know a stream also beside several versions.
      const asked = askGateways({requestId, service});
      return (await within(only)) ?? asked;
    },
    observeVersions() {
      options.servedVersions.update();
      const sinceMs = clock.monotonicMs() - observedAtMs;
      if (sinceMs >= OBSERVATION_INTERVAL_MS) observeNow();
    },
  };
}

/** Resolves to undefined if there is no result within the time limit. */
function within<T>(result: Promise<T | undefined>): Promise<T | undefined> {
  const limit = new Promise<undefined>(resolve =>
    setTimeout(() => resolve(undefined), ANSWER_LIMIT_MS),
  );
  return Promise.race([result, limit]);
}
