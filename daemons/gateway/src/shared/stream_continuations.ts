import {
  createStreamOrigins,
  type StreamOrigin,
  type StreamOrigins,
} from '@sardinestile/continuation';
import {divideIntoGroups} from '@sardinestile/fleet';
import type {Logger} from '@sardinestile/logger';
import type {PeerClient, StreamVersion} from '@sardinestile/peer';
import {listReachableServices, type Route} from '@sardinestile/route_table';
import type {Clock} from '@sardinestile/types';
import type {RegisteredGateway} from './peer_registry.js';
import type {ServedTargetStore} from './served_target_store.js';
import type {ServedVersionStore} from './served_version_store.js';
import {shuffle} from './shuffle.js';

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
  /** Route on which it is resumed. */
  route: Route;
}

/** Options for `createStreamContinuations`. */
export interface StreamContinuationsOptions {
  instance: string;
  /** All registered gateways of the fleet. */
  registeredGateways: () => readonly RegisteredGateway[];
  fetchStreamVersion: PeerClient['fetchStreamVersion'];
  /** Versions that served, for streams that no gateway remembers. */
  servedVersions: Pick<ServedVersionStore, 'onlyVersion'>;
  /** Targets that routes had lately, for the same streams. */
  servedTargets: Pick<ServedTargetStore, 'serviceOf'>;
  clock: Clock;
  logger: Logger;
}

/** How a gateway knows the service and the software version at which a stream has to go on. */
export type OriginSource =
  /** It saw the first event, or was told of it. */
  | 'memory'
  /** Another gateway remembers the stream. */
  | 'gateway'
  /** The route has chosen one service for it, which has served with this version only. */
  | 'servedVersions';

/** Service and software version at which a stream has to go on. */
export interface FoundOrigin extends StreamOrigin {
  source: OriginSource;
  /**
   * Time since the first event was recorded, or since the store was asked, in milliseconds;
   * absent if a gateway of an older build remembers the stream.
   */
  ageMs?: number;
}

/** Knowledge of the services and software versions at which streams have to go on. */
export interface StreamContinuations {
  /** Streams that this gateway remembers; what it answers to others. */
  readonly origins: StreamOrigins;
  /**
   * Returns what began a stream, asking other gateways and the store if this gateway
   * does not remember it; undefined if nobody knows.
   */
  findOrigin(stream: ResumedStream): Promise<FoundOrigin | undefined>;
}

/** Creates the knowledge of a gateway that has just started. */
export function createStreamContinuations(
  options: StreamContinuationsOptions,
): StreamContinuations {
  const {instance, servedVersions, servedTargets, clock, logger} = options;
  const origins = createStreamOrigins();

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
  const askGateways = async (
    requestId: string,
    services: readonly string[],
  ): Promise<FoundOrigin | undefined> => {
    const answers = chooseGateways().map(async ({address: {host, port}}) =>
      nameService(
        await options.fetchStreamVersion(`${host}:${port}`, requestId),
        services,
      ),
    );
    try {
      return {...(await Promise.any(answers)), source: 'gateway'};
    } catch (error) {
      // Gateways that are lost, or know no more than this one, are the usual case.
      const {errors} = error as AggregateError;
      const operation = 'ask what began a stream';
      const reason = errors.map(String).join('; ') || 'no other gateway';
      logger.info('peer_failed', {operation, reason});
      return undefined;
    }
  };
  const concludeOrigin = async ({
    requestId,
    route,
  }: ResumedStream): Promise<FoundOrigin | undefined> => {
    const askedAtMs = clock.monotonicMs();
    const services = listReachableServices(route);
    const [service, ...versions] = await Promise.all([
      servedTargets.serviceOf(route, requestId),
      ...services.map(other => servedVersions.onlyVersion(other)),
    ]);
    if (service === undefined) return undefined;
    const softwareVersion = versions[services.indexOf(service)];
    if (softwareVersion === undefined) return undefined;
    const ageMs = clock.monotonicMs() - askedAtMs;
    return {service, softwareVersion, ageMs, source: 'servedVersions'};
  };
  return {
    origins,
    async findOrigin(stream) {
      const {requestId, route} = stream;
      if (requestId === undefined) return within(concludeOrigin(stream));
      const origin = origins.originOf(requestId, clock.monotonicMs());
      if (origin) return {...origin, source: 'memory'};
      return within(
        firstKnown([
          askGateways(requestId, listReachableServices(route)),
          concludeOrigin(stream),
        ]),
      );
    },
  };
}

/**
 * Adds the service to the answer of a gateway whose build does not state it; throws if more
 * than one can be meant.
 */
function nameService(
  {service, ...version}: StreamVersion,
  services: readonly string[],
) {
  if (service !== undefined) return {service, ...version};
  if (services.length === 1) return {service: services[0], ...version};
  throw new Error('the answer names no service');
}

/** Resolves to the first result that is not undefined, or to undefined if all are. */
async function firstKnown<T>(
  results: ReadonlyArray<Promise<T | undefined>>,
): Promise<T | undefined> {
  const known = results.map(async result => {
    const value = await result;
    if (value === undefined) throw new Error('the result is not known');
    return value;
  });
  // All are rejected if no result is known; the sources log their own failures.
  return Promise.any(known).catch(() => undefined);
}

/** Resolves to undefined if there is no result within the time limit. */
function within<T>(result: Promise<T | undefined>): Promise<T | undefined> {
  const limit = new Promise<undefined>(resolve =>
    setTimeout(() => resolve(undefined), ANSWER_LIMIT_MS),
  );
  return Promise.race([result, limit]);
}
