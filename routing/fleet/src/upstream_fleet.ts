import type {PromptPart} from '@sardinestile/ports';
import type {ColdStart, EngineTraits} from '@sardinestile/route_table';
import type {RandomSource} from '@sardinestile/types';
import {createColdUpstreams, type ColdUpstreams} from './cold_upstreams.js';
import {
  createEngineLatencyModel,
  type EngineLatencyModel,
} from './engine_latency_model.js';
import type {GroupAssignment} from './fleet_groups.js';
import type {PlacedRequest, UpstreamRecord} from './fleet_types.js';
import {
  createGroupUpstreams,
  type DivisionChange,
  type GroupUpstreams,
} from './group_upstreams.js';
import {createMembership, type Membership} from './membership.js';
import {DEFAULT_RESOURCE_COSTS, type ResourceCosts} from './placement_cost.js';
import {createPrefillQueue, type PrefillQueue} from './prefill_queue.js';
import {createPromptCache, type PromptCache} from './prompt_cache.js';
import {
  createPromptPartition,
  type PromptPartition,
} from './prompt_partition.js';
import {createQuietPeriods, type QuietPeriods} from './quiet_periods.js';
import {createRequestLimits, type RequestLimits} from './request_limits.js';
import {createStreamLoad, type StreamLoad} from './stream_load.js';
import {createUpstreamHealth, type UpstreamHealth} from './upstream_health.js';

/**
 * Memory assumed for an engine whose service does not configure it, in tokens.
 */
const DEFAULT_MEMORY_TOKENS = 200_000;

/** Age at which a request counts as ended even if no end was recorded. */
const STALE_REQUEST_MS = 20_000;

/** Estimated state of one upstream. */
export interface UpstreamState {
  readonly id: string;
  readonly prefillQueue: PrefillQueue;
  readonly streams: StreamLoad;
  readonly cache: PromptCache;
  readonly health: UpstreamHealth;
  /**
   * Estimated number of requests at the upstream, placed by this gateway and
   * its peers.
   */
  running: number;
  /** Prompt tokens of these requests. */
  runningPromptTokens: number;
}

/** Estimates that apply to all engines of one service. */
export interface ServiceState {
  readonly model: EngineLatencyModel;
  readonly partition: PromptPartition;
}

/** Name of the gateway that placed a request: this one or a peer. */
export type GatewayName = string;

/**
 * Estimated state of all upstreams, built from the requests that this gateway
 * and its peers placed.
 */
export interface UpstreamFleet {
  readonly membership: Membership;
  /** Periods in which upstreams want no requests from this gateway. */
  readonly quietPeriods: QuietPeriods;
  /** Limits that upstreams state for the requests of all gateways together. */
  readonly requestLimits: RequestLimits;
  /** Upstreams that take fewer requests, since they have just started. */
  readonly coldUpstreams: ColdUpstreams;
  /** Costs of the resources that placements use. */
  readonly resourceCosts: ResourceCosts;
  /** Returns the state of an upstream; creates it at the first call. */
  upstreamStateOf(record: UpstreamRecord): UpstreamState;
  /** Returns the state of a service; creates it at the first call. */
  serviceStateOf(name: string): ServiceState;
  /** Returns the engine traits of a service from the configuration. */
  traitsOf(service: string): EngineTraits | undefined;
  /**
   * Returns the usable upstreams of a service that belong to this gateway's
   * group.
   */
  upstreamsOf(service: string): readonly UpstreamRecord[];
  /**
   * Whether the gateways of all groups send to the upstreams of a service, since
   * there are few of them.
   */
  isSharedByGroups(service: string): boolean;
  /** Requests that an upstream from another group is assumed to have beyond the known ones. */
  readonly unheardRequests: GroupUpstreams['unheardRequests'];
  /** Sets the group of this gateway. */
  setGroup(group: GroupAssignment): void;
  /**
   * Records a placed request. Repeated calls and unknown upstreams are ignored.
   * Requests of other groups do not count against the share of a stated limit that
   * this group has.
   */
  recordPlacement(
    gateway: GatewayName,
    request: PlacedRequest,
    nowMs: number,
    isOfOtherGroup?: boolean,
  ): void;
  /**
   * Records the first event of a request, which means that its prefill is done.
   */
  recordFirstEvent(upstreamId: string, requestId: string, nowMs: number): void;
  /** Records the end of a request, whether it was answered or failed. */
  recordEnd(upstreamId: string, requestId: string, nowMs: number): void;
  /** Records the outcome of a request of another gateway. */
  recordPeerOutcome(upstreamId: string, isError: boolean, nowMs: number): void;
  /**
   * Records that operators took an availability zone back into service. Its upstreams
   * may have become cold meanwhile.
   */
  recordZoneReturn(availabilityZone: string, nowMs: number): void;
  /** Removes the requests of a gateway that left or failed. */
  removeGateway(gateway: GatewayName, nowMs: number): void;
  /** Removes upstreams that no longer exist, and requests that are too old. */
  prune(nowMs: number): void;
}

/** Options for createUpstreamFleet. */
export interface UpstreamFleetOptions {
  /** Returns the engine traits of a service from the current configuration. */
  traitsOf: (service: string) => EngineTraits | undefined;
  /**
   * Shortest target gap between events on the routes of a service; Infinity if
   * none has a target.
   */
  shortestTargetGapMs: (service: string) => number;
  /** Costs of the resources that placements use; the defaults if absent. */
  resourceCosts?: ResourceCosts;
  /**
   * Share of the gateways of this group that this gateway hears, itself included;
   * 1 if absent.
   */
  heardShareOfGroup?: () => number;
  /** Called when upstreams move between groups of gateways. */
  onDivisionChange?: (change: DivisionChange) => void;
  /** Returns the cold rate of a service from the current configuration; none if absent. */
  coldStartOf?: (service: string) => ColdStart | undefined;
  /** Numbers of gateways of all groups and of this one; one each if absent. */
  gateways?: Readonly<{inFleet: number; inGroup: number}>;
  random?: RandomSource;
}

interface RunningRequest {
  gateway: GatewayName;
  service: string;
  upstreamId: string;
  requestId: string;
  promptTokens: number;
  promptParts: readonly PromptPart[];
  isLongPrompt: boolean;
  placedAtMs: number;
}

/** Creates a fleet without upstreams. */
export function createUpstreamFleet(
  options: UpstreamFleetOptions,
): UpstreamFleet {
  const {traitsOf} = options;
  const membership = createMembership((record, nowMs) =>
    coldUpstreams.applyRecord(record, nowMs),
  );
  const coldUpstreams = createColdUpstreams({
    coldStartOf: options.coldStartOf ?? (() => undefined),
    recordOf: membership.get,
  });
  const quietPeriods = createQuietPeriods();
  const heardShareOfGroup = options.heardShareOfGroup ?? (() => 1);
  const requestLimits = createRequestLimits({
    heardShare({id}) {
      const service = membership.get(id)?.service ?? '';
      const groupShare = groupUpstreams.isShared(service)
        ? groupUpstreams.groupShare()
        : 1;
      return heardShareOfGroup() * groupShare;
    },
    coldRatePerS: coldUpstreams.ratePerS,
    senderCount({id}) {
      const {inFleet, inGroup} = options.gateways ?? {inFleet: 1, inGroup: 1};
      const service = membership.get(id)?.service ?? '';
      return groupUpstreams.isShared(service) ? inFleet : inGroup;
    },
    random: options.random,
  });
  const states = new Map<string, UpstreamState>();
  const services = new Map<string, ServiceState>();
  /** Requests that have not ended, oldest first. */
  const running = new Map<string, RunningRequest>();

  const groupUpstreams = createGroupUpstreams({
    usableUpstreamsOf: membership.usableUpstreamsOf,
    runningAt: ({id}) => states.get(id)?.running ?? 0,
    onChange: change => options.onDivisionChange?.(change),
  });
  const upstreamStateOf = ({id, service}: UpstreamRecord): UpstreamState => {
    let state = states.get(id);
    if (!state) {
      const memory = traitsOf(service)?.memoryTokens ?? DEFAULT_MEMORY_TOKENS;
      state = {
        id,
        prefillQueue: createPrefillQueue(),
        streams: createStreamLoad(),
        cache: createPromptCache(memory),
        health: createUpstreamHealth(),
        running: 0,
        runningPromptTokens: 0,
      };
      states.set(id, state);
    }
    return state;
  };
  const serviceStateOf = (name: string): ServiceState => {
    let service = services.get(name);
    if (!service) {
      service = {
        model: createEngineLatencyModel(),
        partition: createPromptPartition(name, () =>
          options.shortestTargetGapMs(name),
        ),
      };
      services.set(name, service);
    }
    return service;
  };
  const endRequest = (key: string, request: RunningRequest, nowMs: number) => {
    running.delete(key);
    if (!request.isLongPrompt) {
      serviceStateOf(request.service).partition.adjustShortRunning(-1);
    }
    const state = states.get(request.upstreamId);
    if (!state) return;
    state.prefillQueue.remove(request.requestId, nowMs);
    state.streams.remove(request.requestId);
    state.running--;
    state.runningPromptTokens -= request.promptTokens;
  };
  return {
    membership,
    quietPeriods,
    requestLimits,
    coldUpstreams,
    recordZoneReturn: coldUpstreams.recordZoneReturn,
    isSharedByGroups: groupUpstreams.isShared,
    unheardRequests: groupUpstreams.unheardRequests,
    resourceCosts: options.resourceCosts ?? DEFAULT_RESOURCE_COSTS,
    upstreamStateOf,
    serviceStateOf,
    traitsOf,
    upstreamsOf: groupUpstreams.upstreamsOf,
    setGroup: groupUpstreams.setGroup,
    recordPlacement(gateway, request, nowMs, isOfOtherGroup = false) {
      const {requestId, upstreamId, targetGapMs, promptTokens} = request;
      const record = membership.get(upstreamId);
      const key = requestKey(upstreamId, requestId);
      if (!record || running.has(key)) return;
      if (!isOfOtherGroup) requestLimits.recordRequest(record, nowMs);
      const state = upstreamStateOf(record);
      const {model, partition} = serviceStateOf(record.service);
      const prefillMs = model.estimatePrefillMs(request.uncachedTokens);
      state.prefillQueue.add(requestId, prefillMs, request.urgency, nowMs);
      state.cache.touch(request.promptParts);
      state.running++;
      state.runningPromptTokens += promptTokens;
      if (targetGapMs !== undefined) {
        state.streams.add(requestId, targetGapMs);
      }
      // Shared parts that have to be computed make a prompt long, too.
      partition.recordPrefill(prefillMs, targetGapMs);
      const isLongPrompt = partition.isLong({prefillMs, targetGapMs});
      if (isLongPrompt) partition.recordLongPrompt(prefillMs, nowMs);
      else partition.adjustShortRunning(1);
      running.set(key, {
        gateway,
        service: record.service,
        upstreamId,
        requestId,
        promptTokens,
        promptParts: request.promptParts,
        isLongPrompt,
        placedAtMs: nowMs,
      });
    },
    recordFirstEvent(upstreamId, requestId, nowMs) {
      const state = states.get(upstreamId);
      const request = running.get(requestKey(upstreamId, requestId));
      if (!state || !request) return;
      state.prefillQueue.remove(requestId, nowMs);
      state.cache.markPrefilled(request.promptParts);
    },
    recordEnd(upstreamId, requestId, nowMs) {
      const key = requestKey(upstreamId, requestId);
      const request = running.get(key);
      if (request) endRequest(key, request, nowMs);
    },
    recordPeerOutcome(upstreamId, isError, nowMs) {
      states.get(upstreamId)?.health.recordPeerOutcome(isError, nowMs);
    },
    removeGateway(gateway, nowMs) {
      for (const [key, request] of running) {
        if (request.gateway === gateway) endRequest(key, request, nowMs);
      }
    },
    prune(nowMs) {
      quietPeriods.prune(nowMs);
      requestLimits.prune(nowMs);
      coldUpstreams.prune(nowMs);
      for (const [key, request] of running) {
        if (nowMs - request.placedAtMs < STALE_REQUEST_MS) break;
        endRequest(key, request, nowMs);
      }
      for (const id of states.keys()) {
        if (!membership.get(id)) states.delete(id);
      }
    },
  };
}

function requestKey(upstreamId: string, requestId: string): string {
  return `${upstreamId} ${requestId}`;
}
