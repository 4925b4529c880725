import type {PromptPart} from '@sardinestile/ports';
import type {EngineTraits} from '@sardinestile/route_table';
import {createEngineModel, type EngineModel} from './engine_model.js';
import type {UpstreamRecord} from './fleet_types.js';
import {createMembership, type Membership} from './membership.js';
import {createPrefillQueue, type PrefillQueue} from './prefill_queue.js';
import {createPromptCache, type PromptCache} from './prompt_cache.js';
import {createUpstreamHealth, type UpstreamHealth} from './upstream_health.js';

/** Memory that is assumed of an engine whose service names none, in tokens. */
const DEFAULT_MEMORY_TOKENS = 200_000;

/** What is believed of one upstream. */
export interface UpstreamState {
  readonly id: string;
  readonly prefill: PrefillQueue;
  readonly cache: PromptCache;
  readonly health: UpstreamHealth;
  /** Requests of all gateways that are believed to be there. */
  running: number;
}

/** A request that some gateway placed. */
export interface PlacedRequest {
  requestId: string;
  upstreamId: string;
  service: string;
  promptParts: readonly PromptPart[];
  /** Prompt tokens that the engine has to read. */
  unreadTokens: number;
  urgency: number;
}

/** What this gateway believes of all upstreams. */
export interface Fleet {
  readonly membership: Membership;
  stateOf(record: UpstreamRecord): UpstreamState;
  modelOf(service: string): EngineModel;
  recordPlaced(request: PlacedRequest, nowMs: number): void;
  /** Notes that the request's first event came. */
  recordFirstEvent(upstreamId: string, requestId: string, nowMs: number): void;
  recordEnded(upstreamId: string, requestId: string, nowMs: number): void;
  /** Forgets upstreams that no longer exist. */
  prune(): void;
}

/** What a fleet is made of. */
export interface FleetOptions {
  /** Traits of a service's engines in the configuration in force. */
  traitsOf: (service: string) => EngineTraits | undefined;
}

/** Makes a fleet of which nothing is known. */
export function createFleet(options: FleetOptions): Fleet {
  const membership = createMembership();
  const states = new Map<string, UpstreamState>();
  const models = new Map<string, EngineModel>();
  /** Upstream of each request that is believed to run. */
  const placed = new Map<string, string>();

  const stateOf = ({id, service}: UpstreamRecord): UpstreamState => {
    let state = states.get(id);
    if (!state) {
      const memory =
        options.traitsOf(service)?.memoryTokens ?? DEFAULT_MEMORY_TOKENS;
      state = {
        id,
        prefill: createPrefillQueue(),
        cache: createPromptCache(memory),
        health: createUpstreamHealth(),
        running: 0,
      };
      states.set(id, state);
    }
    return state;
  };
  const modelOf = (service: string): EngineModel => {
    let model = models.get(service);
    if (!model) models.set(service, (model = createEngineModel()));
    return model;
  };
  return {
    membership,
    stateOf,
    modelOf,
    recordPlaced(request, nowMs) {
      const record = membership.get(request.upstreamId);
      if (!record) return;
      const state = stateOf(record);
      const workMs = modelOf(record.service).readMs(request.unreadTokens);
      state.prefill.add(request.requestId, workMs, request.urgency, nowMs);
      state.cache.touch(request.promptParts);
      state.running++;
      placed.set(`${request.requestId} ${request.upstreamId}`, state.id);
    },
    recordFirstEvent(upstreamId, requestId, nowMs) {
      states.get(upstreamId)?.prefill.remove(requestId, nowMs);
    },
    recordEnded(upstreamId, requestId, nowMs) {
      if (!placed.delete(`${requestId} ${upstreamId}`)) return;
      const state = states.get(upstreamId);
      if (!state) return;
      state.prefill.remove(requestId, nowMs);
      state.running--;
    },
    prune() {
      for (const id of states.keys()) {
        if (!membership.get(id)) states.delete(id);
      }
    },
  };
}
