import type {PromptPart} from '@sardinestile/ports';
import type {EngineTraits} from '@sardinestile/route_table';
import {createEngineModel, type EngineModel} from './engine_model.js';
import {ONE_GROUP, selectGroup, type GroupAssignment} from './fleet_groups.js';
import type {PlacedRequest, UpstreamRecord} from './fleet_types.js';
import {createMembership, type Membership} from './membership.js';
import {createPrefillQueue, type PrefillQueue} from './prefill_queue.js';
import {createPromptCache, type PromptCache} from './prompt_cache.js';
import {
  createPromptPartition,
  type PromptPartition,
} from './prompt_partition.js';
import {createStreamLoad, type StreamLoad} from './stream_load.js';
import {createUpstreamHealth, type UpstreamHealth} from './upstream_health.js';

/** Memory that is assumed of an engine whose service names none, in tokens. */
const DEFAULT_MEMORY_TOKENS = 200_000;

/** Time after which a request without news is believed to have ended, in milliseconds. */
const MAX_RUN_MS = 20_000;

/** What is believed of one upstream. */
export interface UpstreamState {
  readonly id: string;
  readonly prefill: PrefillQueue;
  readonly streams: StreamLoad;
  readonly cache: PromptCache;
  readonly health: UpstreamHealth;
  /** Requests of all gateways that are believed to be there. */
  running: number;
  /** Tokens of prompts of the requests that are believed to be there. */
  runningTokens: number;
}

/** What is believed of the engines of one service. */
export interface ServiceState {
  readonly model: EngineModel;
  readonly partition: PromptPartition;
}

/** Who placed a request: this gateway itself or a peer. */
export type Placer = string;

/** What this gateway believes of all upstreams. */
export interface Fleet {
  readonly membership: Membership;
  stateOf(record: UpstreamRecord): UpstreamState;
  serviceOf(name: string): ServiceState;
  traitsOf(service: string): EngineTraits | undefined;
  /** Upstreams of a service that this gateway's group uses. */
  upstreamsOf(service: string): readonly UpstreamRecord[];
  /** Puts this gateway into a group of a large fleet. */
  joinGroup(group: GroupAssignment): void;
  recordPlaced(placer: Placer, request: PlacedRequest, nowMs: number): void;
  /** Notes that the request's first event came. */
  recordFirstEvent(upstreamId: string, requestId: string, nowMs: number): void;
  recordEnded(upstreamId: string, requestId: string, nowMs: number): void;
  /** Notes what came of a request of another gateway. */
  recordPeerOutcome(upstreamId: string, isError: boolean, nowMs: number): void;
  /** Forgets what a gateway placed that is gone. */
  forgetPlacer(placer: Placer, nowMs: number): void;
  /** Forgets upstreams that no longer exist and requests without news. */
  prune(nowMs: number): void;
}

/** What a fleet is made of. */
export interface FleetOptions {
  /** Traits of a service's engines in the configuration in force. */
  traitsOf: (service: string) => EngineTraits | undefined;
  /** Shortest gap between events that callers of a service want; infinite without any. */
  shortestGapMs: (service: string) => number;
}

interface RunningRequest {
  placer: Placer;
  service: string;
  upstreamId: string;
  requestId: string;
  promptTokens: number;
  promptParts: readonly PromptPart[];
  isLong: boolean;
  placedAtMs: number;
}

/** Makes a fleet of which nothing is known. */
export function createFleet(options: FleetOptions): Fleet {
  const {traitsOf} = options;
  const membership = createMembership();
  const states = new Map<string, UpstreamState>();
  const services = new Map<string, ServiceState>();
  /** Requests that are believed to run, oldest first. */
  const running = new Map<string, RunningRequest>();

  let group = ONE_GROUP;
  /** Upstreams of the group, by the list that they were selected from. */
  let selected = new WeakMap<
    readonly UpstreamRecord[],
    readonly UpstreamRecord[]
  >();
  const upstreamsOf = (service: string) => {
    const all = membership.usableOf(service);
    let mine = selected.get(all);
    if (!mine) {
      mine = selectGroup(all, ({id}) => id, group);
      selected.set(all, mine);
    }
    return mine;
  };
  const stateOf = ({id, service}: UpstreamRecord): UpstreamState => {
    let state = states.get(id);
    if (!state) {
      const memory = traitsOf(service)?.memoryTokens ?? DEFAULT_MEMORY_TOKENS;
      state = {
        id,
        prefill: createPrefillQueue(),
        streams: createStreamLoad(),
        cache: createPromptCache(memory),
        health: createUpstreamHealth(),
        running: 0,
        runningTokens: 0,
      };
      states.set(id, state);
    }
    return state;
  };
  const serviceOf = (name: string): ServiceState => {
    let service = services.get(name);
    if (!service) {
      service = {
        model: createEngineModel(),
        partition: createPromptPartition(name, () =>
          options.shortestGapMs(name),
        ),
      };
      services.set(name, service);
    }
    return service;
  };
  const end = (key: string, request: RunningRequest, nowMs: number) => {
    running.delete(key);
    if (!request.isLong) {
      serviceOf(request.service).partition.countShort(-1);
    }
    const state = states.get(request.upstreamId);
    if (!state) return;
    state.prefill.remove(request.requestId, nowMs);
    state.streams.remove(request.requestId);
    state.running--;
    state.runningTokens -= request.promptTokens;
  };
  return {
    membership,
    stateOf,
    serviceOf,
    traitsOf,
    upstreamsOf,
    joinGroup(next) {
      if (next.index === group.index && next.count === group.count) return;
      group = next;
      selected = new WeakMap();
    },
    recordPlaced(placer, request, nowMs) {
      const {requestId, upstreamId, targetGapMs, promptTokens} = request;
      const record = membership.get(upstreamId);
      const key = runKey(upstreamId, requestId);
      if (!record || running.has(key)) return;
      const state = stateOf(record);
      const {model, partition} = serviceOf(record.service);
      const workMs = model.readMs(request.unreadTokens);
      state.prefill.add(requestId, workMs, request.urgency, nowMs);
      state.cache.touch(request.promptParts);
      state.running++;
      state.runningTokens += promptTokens;
      if (targetGapMs !== undefined) {
        state.streams.add(requestId, targetGapMs);
      }
      const isLong = partition.isLong(workMs);
      if (isLong) partition.recordLong(workMs, nowMs);
      else partition.countShort(1);
      running.set(key, {
        placer,
        service: record.service,
        upstreamId,
        requestId,
        promptTokens,
        promptParts: request.promptParts,
        isLong,
        placedAtMs: nowMs,
      });
    },
    recordFirstEvent(upstreamId, requestId, nowMs) {
      const state = states.get(upstreamId);
      const request = running.get(runKey(upstreamId, requestId));
      if (!state || !request) return;
      state.prefill.remove(requestId, nowMs);
      state.cache.confirm(request.promptParts);
    },
    recordEnded(upstreamId, requestId, nowMs) {
      const key = runKey(upstreamId, requestId);
      const request = running.get(key);
      if (request) end(key, request, nowMs);
    },
    recordPeerOutcome(upstreamId, isError, nowMs) {
      states.get(upstreamId)?.health.recordPeerOutcome(isError, nowMs);
    },
    forgetPlacer(placer, nowMs) {
      for (const [key, request] of running) {
        if (request.placer === placer) end(key, request, nowMs);
      }
    },
    prune(nowMs) {
      for (const [key, request] of running) {
        if (nowMs - request.placedAtMs < MAX_RUN_MS) break;
        end(key, request, nowMs);
      }
      for (const id of states.keys()) {
        if (!membership.get(id)) states.delete(id);
      }
    },
  };
}

function runKey(upstreamId: string, requestId: string): string {
  return `${upstreamId} ${requestId}`;
}
