import {
  createMovingAverage,
  type MovingAverage,
} from '@sardinestile/prediction';
import {fairLevel, type ShareClaim} from './fair_shares.js';
import {DEMAND_TIME_CONSTANT_MS} from './usage_sums.js';
import type {UsageKey, UsageSum, UsageSums} from './usage_sums.js';

/**
 * Smallest weight of an active organisation, as a part of the mean weight, so that
 * one that is new or rarely seen has a share.
 */
const MIN_WEIGHT_SHARE = 0.25;

/**
 * Demand, as a multiple of the usual usage, up to which an organisation counts as
 * within its share. Lower values refused the ordinary variation at a load of 80%.
 */
const USUAL_VARIATION = 1.25;

/**
 * Requests by which the demand may exceed the share unnoticed, in a time constant of
 * the sums. Those of an organisation with one request a second vary by about this number.
 */
const TOLERATED_REQUESTS = 4;
const TOLERANCE_WINDOW_S = 3;

/**
 * Time constants of the average backlog while it rises and while it falls, in
 * milliseconds. It falls slowly, since gateways see each other's requests some
 * milliseconds late and would otherwise all use a moment without backlog.
 */
const RISE_TIME_CONSTANT_MS = 50;
const FALL_TIME_CONSTANT_MS = 1_000;

/** Part of the average that one request leaves unchanged, however long ago the last one came. */
const MIN_KEPT_SHARE = 0.5;

/** Weight of the newest request in the average time for a request. */
const NEWEST_WORK_WEIGHT = 0.05;

/** Average backlog that counts as none: less than what a clock resolves, in milliseconds. */
const MIN_BACKLOG_MS = 1;

/** Part of its usual usage that an organisation may have in any case, so that none starves. */
const MIN_SHARE = 0.1;

/** Limit of the capacity as a part of the usage, so that a long queue does not stop all. */
const MIN_CAPACITY_SHARE = 0.7;

/** A request whose position is looked for. */
export interface ShareRequest extends UsageKey {
  /** Units that it needs. */
  units: number;
  /** Work that waits at the best upstream, in milliseconds. */
  backlogMs: number;
  /** Time that the upstream needs for a request like this one, in milliseconds. */
  workMs: number;
}

/** Where a request of an organisation stands against the organisation's fair share. */
export interface SharePosition {
  /** Fair share of the capacity, in units a second. */
  sharePerS: number;
  /** Units a second that were admitted for the organisation with this urgency. */
  usagePerS: number;
  /** Units a second that were asked for with this urgency or a higher one. */
  demandPerS: number;
  /** Demand divided by the share; up to 1 the request is within the share. */
  excess: number;
  /** Time until the demand has fallen to the share if nothing more arrives, in milliseconds. */
  withinShareAfterMs: number;
  /** Part of the organisation's requests of this urgency that its share covers, 0 to 1. */
  coveredPart: number;
  /** Age of the oldest sums that were used, in milliseconds. */
  ageMs: number;
}

/** Finds out where requests stand against the shares of their organisations. */
export interface ShareFinder {
  /**
   * Returns the position of a request; undefined while capacity is not short. Requests
   * that find no backlog count too, so that each request should be passed.
   */
  find(request: ShareRequest, nowMs: number): SharePosition | undefined;
}

/** Averages of one service. */
interface ServiceAverages {
  backlogMs: number;
  /** Time that an upstream needs for a request. */
  workMs: MovingAverage;
  updatedAtMs: number;
}

/**
 * Creates a finder. Capacity is short while work waits at the best upstream, since all
 * others then have at least as much. It has to be done before what arrives next: in the
 * time of a request, the upstreams have that much less room than the usage says. Shares
 * then fall below the demand first for the organisations with the most demand for their
 * weight. Usage alone does not show that capacity is short: it exceeds the capacity for
 * as long as the queues grow.
 */
export function createShareFinder(usage: UsageSums): ShareFinder {
  const averages = new Map<string, ServiceAverages>();
  const observe = (
    {service, backlogMs, workMs}: ShareRequest,
    nowMs: number,
  ): ServiceAverages => {
    const average = averages.get(service) ?? {
      backlogMs: 0,
      workMs: createMovingAverage(NEWEST_WORK_WEIGHT),
      updatedAtMs: nowMs,
    };
    averages.set(service, average);
    average.workMs.add(workMs);
    const timeConstantMs =
      backlogMs > average.backlogMs
        ? RISE_TIME_CONSTANT_MS
        : FALL_TIME_CONSTANT_MS;
    const kept = Math.max(
      MIN_KEPT_SHARE,
      Math.exp((average.updatedAtMs - nowMs) / timeConstantMs),
    );
    average.backlogMs = kept * average.backlogMs + (1 - kept) * backlogMs;
    average.updatedAtMs = nowMs;
    return average;
  };
  return {
    find(request, nowMs) {
      const {backlogMs, workMs} = observe(request, nowMs);
      if (backlogMs < MIN_BACKLOG_MS) return undefined;
      const {sums, ageMs} = usage.serviceUsage(request.service, nowMs);
      const capacityShare = Math.max(
        MIN_CAPACITY_SHARE,
        1 - backlogMs / workMs.value!,
      );
      return positionOf(request, sums, ageMs, capacityShare);
    },
  };
}

function positionOf(
  request: ShareRequest,
  sums: readonly UsageSum[],
  ageMs: number,
  capacityShare: number,
): SharePosition | undefined {
  const {organisation, urgency, units} = request;
  const claims = new Map<string, ShareClaim>();
  let totalUsagePerS = 0;
  let usagePerS = 0;
  let sameUrgencyPerS = 0;
  let moreUrgentPerS = 0;
  for (const sum of sums) {
    const claim = claims.get(sum.organisation) ?? {demand: 0, weight: 0};
    claim.demand += sum.demandPerS;
    claim.weight += sum.usualPerS;
    claims.set(sum.organisation, claim);
    totalUsagePerS += sum.usagePerS;
    if (sum.organisation !== organisation || sum.urgency > urgency) continue;
    if (sum.urgency < urgency) {
      moreUrgentPerS += sum.demandPerS;
    } else {
      sameUrgencyPerS = sum.demandPerS;
      usagePerS = sum.usagePerS;
    }
  }
  const own = claims.get(organisation);
  const all = [...claims.values()];
  const meanWeight =
    all.reduce((sum, {weight}) => sum + weight, 0) / all.length;
  if (!own || meanWeight === 0) return undefined;
  const toleratedPerS = (TOLERATED_REQUESTS * units) / TOLERANCE_WINDOW_S;
  const isUsual = ({demand, weight}: ShareClaim) =>
    demand <= USUAL_VARIATION * weight + toleratedPerS;
  if (isUsual(own)) return undefined;
  const usualDemandPerS = all
    .filter(isUsual)
    .reduce((sum, {demand}) => sum + demand, 0);
  const overClaims = all.filter(claim => !isUsual(claim));
  const leastPerS = MIN_SHARE * own.weight;
  for (const claim of all) {
    claim.weight = Math.max(claim.weight, MIN_WEIGHT_SHARE * meanWeight);
  }
  const level = fairLevel(
    overClaims,
    Math.max(0, capacityShare * totalUsagePerS - usualDemandPerS),
  );
  const sharePerS = Math.min(
    own.demand,
    Math.max(own.weight * level, leastPerS),
  );
  const leftPerS = Math.max(0, sharePerS - moreUrgentPerS) + toleratedPerS;
  const demandPerS = moreUrgentPerS + sameUrgencyPerS;
  const excess = demandPerS / (sharePerS + toleratedPerS);
  return {
    sharePerS,
    usagePerS,
    demandPerS,
    excess,
    withinShareAfterMs: DEMAND_TIME_CONSTANT_MS * Math.log(Math.max(1, excess)),
    coveredPart: Math.min(1, leftPerS / sameUrgencyPerS),
    ageMs,
  };
}
