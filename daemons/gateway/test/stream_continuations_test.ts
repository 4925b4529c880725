import {beforeEach, describe, it} from 'node:test';
import {
  STREAM_LIFETIME_MS,
  VALUE_LIFETIME_MS,
} from '@sardinestile/continuation';
import {createLogger} from '@sardinestile/logger';
import type {StreamVersion} from '@sardinestile/peer';
import type {TableService} from '@sardinestile/ports';
import {
  chooseTarget,
  type Route,
  type RouteTable,
} from '@sardinestile/route_table';
import {expect} from 'earl';
import type {RegisteredGateway} from '../src/shared/peer_registry.js';
import {createServedTargetStore} from '../src/shared/served_target_store.js';
import {createServedVersionStore} from '../src/shared/served_version_store.js';
import {
  createStreamContinuations,
  type ResumedStream,
} from '../src/shared/stream_continuations.js';

const STEP_MS = 500;
const STREAM = {requestId: 'r', route: createRoute({pool: 1})};
const SPLIT_STREAM = {
  requestId: 'r',
  route: createRoute({pool: 1, other: 1}),
};

/** Creates a route by the weights of its targets. */
function createRoute(weights: Readonly<Record<string, number>>): Route {
  return {
    name: 'resumable',
    host: 'h',
    pathPrefix: '/',
    kind: 'stream',
    targets: Object.entries(weights).map(([service, weight]) => ({
      service,
      weight,
    })),
    timeoutMs: 5_000,
    targetLatencyMs: 300,
    priority: 0,
    maxAttempts: 2,
    isOpen: true,
    isResumable: true,
    hasPromptParts: false,
  };
}

const pool = (...versions: string[]) =>
  versions.map(softwareVersion => ({service: 'pool', softwareVersion}));

const OTHER_GATEWAY: RegisteredGateway = {
  instance: 'front-2',
  address: {host: '127.0.0.1', port: 1},
};

function createTable(...routes: Route[]): RouteTable {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 100_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  };
  return {version: 1, routes, services: [], limits};
}

/** Creates the knowledge of a gateway with a store, a clock and one other gateway of the test. */
function createKnowledge() {
  const world = {
    nowMs: 10_000,
    /** What is registered in the store; undefined while the store rejects this gateway. */
    registered: pool('v1') as ReturnType<typeof pool> | undefined,
    /** What this gateway's list holds, and up to when it is complete. */
    listed: pool('v1'),
    listedAtMs: 10_000,
    /** What the other gateway remembers of the stream. */
    remembered: undefined as StreamVersion | undefined,
    /** The only route of the configuration in the store. */
    storedRoute: STREAM.route,
  };
  const requireStore = () => {
    if (!world.registered) throw new Error('status 503');
    return world.registered;
  };
  const clock = {
    monotonicMs: () => world.nowMs,
    wallMs: () => world.nowMs,
  };
  const logger = createLogger({level: 'error'});
  const rows = new Map<string, {value: string; version: number}>();
  const table: Pick<TableService, 'get' | 'transact'> = {
    async get(key) {
      requireStore();
      const row = rows.get(key);
      return row && {key, ...row};
    },
    async transact([{key, value}]) {
      requireStore();
      const version = (rows.get(key)?.version ?? 0) + 1;
      rows.set(key, {value: value ?? '', version});
      return {committed: true, version};
    },
  };
  const recentValues = {
    table: table as TableService,
    restores: {generation: 1, subscribe: () => undefined},
    isWriter: () => true,
    // The rows prove nothing until a minute and a half have passed.
    isFirstStart: false,
    fleetTimeMs: () => world.nowMs,
    clock,
    logger,
  };
  const servedVersions = createServedVersionStore({
    ...recentValues,
    listedUpstreams: () => world.listed,
    listAgeMs: () => world.nowMs - world.listedAtMs,
    maxListAgeMs: 2_000,
    readRegistered: async () => requireStore(),
  });
  const servedTargets = createServedTargetStore({
    ...recentValues,
    async readRouteTable() {
      requireStore();
      return createTable(world.storedRoute);
    },
  });
  servedTargets.applyTable(createTable(world.storedRoute));
  const continuations = createStreamContinuations({
    instance: 'front-1',
    registeredGateways: () => [OTHER_GATEWAY],
    async fetchStreamVersion() {
      if (!world.remembered) throw new Error('status 404');
      return world.remembered;
    },
    servedVersions,
    servedTargets,
    clock,
    logger,
  });
  /** Follows the list of upstreams for a time; it is confirmed only while the store can be read. */
  const followFor = (durationMs: number) => {
    for (const endMs = world.nowMs + durationMs; world.nowMs < endMs;) {
      world.nowMs += STEP_MS;
      if (world.registered) {
        world.listed = world.registered;
        world.listedAtMs = world.nowMs;
      }
      servedVersions.update();
      servedTargets.update();
    }
  };
  const findOrigin = async (stream: ResumedStream = STREAM) => {
    const found = await continuations.findOrigin(stream);
    if (!found) return undefined;
    const {service, softwareVersion, source} = found;
    return {service, softwareVersion, source};
  };
  return {world, continuations, servedTargets, followFor, findOrigin};
}

describe('createStreamContinuations', () => {
  let knowledge: ReturnType<typeof createKnowledge>;
  beforeEach(() => {
    knowledge = createKnowledge();
    knowledge.followFor(STREAM_LIFETIME_MS + 2 * STEP_MS);
  });

  const useRoute = (route: Route, ...others: Route[]) => {
    knowledge.world.storedRoute = route;
    knowledge.servedTargets.applyTable(createTable(route, ...others));
  };

  describe('a stream that no gateway remembers', () => {
    it('goes on at the only version that served, once the store confirms it', async () => {
      expect(await knowledge.findOrigin()).toEqual({
        service: 'pool',
        softwareVersion: 'v1',
        source: 'servedVersions',
      });
    });

    // Guards against streams that are joined from two versions at a gateway whose list is behind.
    it('is refused at a gateway that the store rejects, although its list has one version', async () => {
      knowledge.world.registered = undefined;
      knowledge.followFor(STEP_MS);
      expect(await knowledge.findOrigin()).toEqual(undefined);
    });

    it('is refused beside a version that registered after the list was read', async () => {
      knowledge.world.registered = pool('v1', 'v2');
      expect(await knowledge.findOrigin()).toEqual(undefined);
    });

    it('is refused after a resume to which the store answered before a version registered', async () => {
      expect((await knowledge.findOrigin())?.softwareVersion).toEqual('v1');
      knowledge.world.registered = pool('v1', 'v2');
      expect(await knowledge.findOrigin()).toEqual(undefined);
    });

    it('is refused after the only version has changed', async () => {
      knowledge.world.registered = pool('v2');
      expect(await knowledge.findOrigin()).toEqual(undefined);
    });
  });

  describe('a stream that some gateway remembers', () => {
    it('goes on at its version without the store, at the gateway that remembers it', async () => {
      const {world, continuations} = knowledge;
      const origin = {service: 'pool', softwareVersion: 'v2'};
      continuations.origins.record('r', origin, world.nowMs);
      world.registered = undefined;
      expect(await knowledge.findOrigin()).toEqual({
        service: 'pool',
        softwareVersion: 'v2',
        source: 'memory',
      });
    });

    it('goes on at its version without the store, if another gateway remembers it', async () => {
      knowledge.world.remembered = {service: 'pool', softwareVersion: 'v2'};
      knowledge.world.registered = undefined;
      expect(await knowledge.findOrigin()).toEqual({
        service: 'pool',
        softwareVersion: 'v2',
        source: 'gateway',
      });
    });
  });

  describe('a stream on a route that is split between services', () => {
    it('goes on at the service that began it, if some gateway remembers it', async () => {
      const origin = {service: 'other', softwareVersion: 'v1'};
      knowledge.world.remembered = origin;
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual({
        ...origin,
        source: 'gateway',
      });
    });

    it('is refused if it names no request, as nothing tells its service', async () => {
      useRoute(SPLIT_STREAM.route);
      knowledge.followFor(VALUE_LIFETIME_MS);
      const unnamed = {...SPLIT_STREAM, requestId: undefined};
      expect(await knowledge.findOrigin(unnamed)).toEqual(undefined);
    });

    it('is refused if the build of the gateway that remembers it states no service', async () => {
      knowledge.world.remembered = {softwareVersion: 'v1'};
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(undefined);
      expect((await knowledge.findOrigin())?.service).toEqual('pool');
    });
  });

  describe('a stream on a split route that no gateway remembers', () => {
    const began = chooseTarget(SPLIT_STREAM.route, SPLIT_STREAM.requestId);
    /** Targets that choose another service for the stream. */
    const changedRoute = createRoute(
      began === 'pool' ? {pool: 0, other: 1} : {pool: 1, other: 0},
    );
    const found = {
      service: began,
      softwareVersion: 'v1',
      source: 'servedVersions' as const,
    };
    beforeEach(() => {
      knowledge.world.registered = [
        ...pool('v1'),
        {service: 'other', softwareVersion: 'v1'},
      ];
      useRoute(SPLIT_STREAM.route);
    });

    it('goes on at the service that the route chose for it', async () => {
      knowledge.followFor(VALUE_LIFETIME_MS);
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(found);
    });

    // Guards against streams that are joined from two services after the loss of all gateways.
    it('is refused while it is not certain which targets the route had', async () => {
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(undefined);
    });

    it('is refused until targets that choose another service are too long ago', async () => {
      useRoute(changedRoute);
      knowledge.followFor(VALUE_LIFETIME_MS);
      useRoute(SPLIT_STREAM.route);
      knowledge.followFor(VALUE_LIFETIME_MS / 2);
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(undefined);
      knowledge.followFor(VALUE_LIFETIME_MS);
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(found);
    });

    it('is refused if only the configuration in the store chooses another service', async () => {
      knowledge.followFor(VALUE_LIFETIME_MS);
      knowledge.world.storedRoute = changedRoute;
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(undefined);
    });

    it('is refused if the targets of all routes are too many for a row', async () => {
      const others = Array.from({length: 500}, (_, i) => ({
        ...SPLIT_STREAM.route,
        name: `another-route-${i}`,
      }));
      useRoute(SPLIT_STREAM.route, ...others);
      knowledge.followFor(2 * VALUE_LIFETIME_MS);
      expect(await knowledge.findOrigin(SPLIT_STREAM)).toEqual(undefined);
    });
  });

  describe('a stream on a route that has just led to another service', () => {
    it('is refused, as that service may have begun it', async () => {
      useRoute(createRoute({other: 1}));
      knowledge.followFor(VALUE_LIFETIME_MS);
      useRoute(STREAM.route);
      knowledge.followFor(STEP_MS);
      expect(await knowledge.findOrigin()).toEqual(undefined);
    });
  });
});
