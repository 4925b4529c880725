import type {RequestClass} from '@sardinestile/service_text';
import type {LoadRequest} from './workload.js';

/**
 * Minimum fraction of a response's token intervals that meet their target. One
 * late interval is always allowed.
 */
const MIN_ON_TIME_INTERVAL_FRACTION = 0.95;

/** Progress and outcome of one request. */
interface RequestRecord {
  request: LoadRequest;
  firstTokenAtMs?: number;
  lastTokenAtMs: number;
  producedTokens: number;
  lateIntervals: number;
  /** Tokens produced between the end of the warm-up and the end of the load. */
  measuredTokens: number;
  endedAtMs?: number;
  isComplete: boolean;
}

/** Results of one request class. */
export interface ClassMetrics {
  requestClass: string;
  /** All requests, excluding open ones that could still meet their targets. */
  offered: number;
  /** Requests that met all their targets. */
  attained: number;
  /** Requests that ended without a token. */
  refused: number;
  /** Other requests that missed a target or ended early. */
  late: number;
  /** Late requests by cause; each counts once, under the first that applies. */
  lateByCause: {
    firstToken: number;
    tokenInterval: number;
    response: number;
    incomplete: number;
  };
  /** Output tokens of responses that met their targets. */
  goodTokens: number;
  /** Output tokens of all other responses. */
  wastedTokens: number;
}

/** Demand and goodput of one organisation. */
export interface OrganisationMetrics {
  organisation: string;
  /** Output tokens of its requests, whether served or not. */
  demandTokens: number;
  /** Output tokens of responses that met their targets. */
  goodTokens: number;
}

/** Records the progress of each request and computes the results of a run. */
export interface RequestRecorder {
  recordArrival(request: LoadRequest): void;
  recordToken(request: LoadRequest, nowMs: number): void;
  /** Records the end; `isComplete` is false after a refusal or a failure. */
  recordEnd(request: LoadRequest, nowMs: number, isComplete: boolean): void;
  /**
   * Returns the tokens of responses that met their targets, as far as they were
   * produced between the end of the warm-up and the end of the load.
   */
  measuredGoodTokens(): number;
  /** Returns the results by class; `endMs` is the end of the run. */
  classMetrics(endMs: number): ClassMetrics[];
  /** Returns the results of one class, or of all, by organisation. */
  organisationMetrics(requestClass?: string): OrganisationMetrics[];
}

/**
 * Creates an empty recorder. Class and organisation results exclude requests
 * that arrive before `warmupMs`; `durationMs` is the time when the load ends.
 */
export function createRequestRecorder(
  classes: readonly RequestClass[],
  warmupMs: number,
  durationMs: number,
): RequestRecorder {
  const records = new Map<string, RequestRecord>();
  return {
    recordArrival(request) {
      records.set(request.id, {
        request,
        lastTokenAtMs: 0,
        producedTokens: 0,
        lateIntervals: 0,
        measuredTokens: 0,
        isComplete: false,
      });
    },
    recordToken(request, nowMs) {
      const record = records.get(request.id)!;
      const targetMs = request.requestClass.targets.tokenIntervalMs ?? Infinity;
      if (record.firstTokenAtMs === undefined) record.firstTokenAtMs = nowMs;
      else if (nowMs - record.lastTokenAtMs > targetMs) record.lateIntervals++;
      record.lastTokenAtMs = nowMs;
      record.producedTokens++;
      if (nowMs >= warmupMs && nowMs < durationMs) record.measuredTokens++;
    },
    /** Records the end; `isComplete` is false after a refusal or a failure. */
    recordEnd(request, nowMs, isComplete) {
      const record = records.get(request.id)!;
      record.endedAtMs = nowMs;
      record.isComplete = isComplete;
    },
    measuredGoodTokens() {
      let tokens = 0;
      for (const record of records.values()) {
        if (hasMetTargets(record)) tokens += record.measuredTokens;
      }
      return tokens;
    },
    classMetrics(endMs) {
      const measuredRecords = [...records.values()].filter(
        record => record.request.arrivesAtMs >= warmupMs,
      );
      return classes.map(({name}) =>
        computeClassMetrics(
          name,
          measuredRecords.filter(
            record => record.request.requestClass.name === name,
          ),
          endMs,
        ),
      );
    },
    organisationMetrics: requestClass =>
      computeOrganisationMetrics(
        [...records.values()].filter(
          record =>
            record.request.arrivesAtMs >= warmupMs &&
            (!requestClass ||
              record.request.requestClass.name === requestClass),
        ),
      ),
  };
}

function hasMetTargets(record: RequestRecord): boolean {
  const {arrivesAtMs, requestClass} = record.request;
  const {firstTokenMs = Infinity, answerMs = Infinity} = requestClass.targets;
  if (!record.isComplete || record.firstTokenAtMs === undefined) return false;
  const maxLateIntervals =
    (1 - MIN_ON_TIME_INTERVAL_FRACTION) *
    Math.max(1, record.producedTokens - 1);
  return (
    record.firstTokenAtMs - arrivesAtMs <= firstTokenMs &&
    record.endedAtMs! - arrivesAtMs <= answerMs &&
    record.lateIntervals <= Math.max(1, maxLateIntervals)
  );
}

function computeClassMetrics(
  requestClass: string,
  records: readonly RequestRecord[],
  endMs: number,
): ClassMetrics {
  const metrics: ClassMetrics = {
    requestClass,
    offered: 0,
    attained: 0,
    refused: 0,
    late: 0,
    lateByCause: {firstToken: 0, tokenInterval: 0, response: 0, incomplete: 0},
    goodTokens: 0,
    wastedTokens: 0,
  };
  for (const record of records) {
    const isOpen = record.endedAtMs === undefined;
    if (isOpen && !isOverdue(record, endMs)) continue;
    metrics.offered++;
    if (hasMetTargets(record)) {
      metrics.attained++;
      metrics.goodTokens += record.producedTokens;
      continue;
    }
    metrics.wastedTokens += record.producedTokens;
    if (record.producedTokens === 0 && !isOpen) metrics.refused++;
    else countLateResponse(metrics, record);
  }
  return metrics;
}

function countLateResponse(metrics: ClassMetrics, record: RequestRecord): void {
  const {arrivesAtMs, requestClass} = record.request;
  const {firstTokenMs = Infinity, answerMs = Infinity} = requestClass.targets;
  const firstTokenAtMs = record.firstTokenAtMs ?? Infinity;
  const {lateByCause} = metrics;
  metrics.late++;
  if (firstTokenAtMs - arrivesAtMs > firstTokenMs) lateByCause.firstToken++;
  else if (!record.isComplete) lateByCause.incomplete++;
  else if (record.endedAtMs! - arrivesAtMs > answerMs) lateByCause.response++;
  else lateByCause.tokenInterval++;
}

/** Returns whether a request that is still open can no longer meet its targets. */
function isOverdue(record: RequestRecord, endMs: number): boolean {
  const {arrivesAtMs, requestClass} = record.request;
  const {firstTokenMs = Infinity, answerMs = Infinity} = requestClass.targets;
  const isFirstTokenLate =
    record.firstTokenAtMs === undefined && endMs > arrivesAtMs + firstTokenMs;
  return isFirstTokenLate || endMs > arrivesAtMs + answerMs;
}

function computeOrganisationMetrics(
  records: readonly RequestRecord[],
): OrganisationMetrics[] {
  const byName = new Map<string, OrganisationMetrics>();
  for (const record of records) {
    const {organisation, outputTokens} = record.request;
    let metrics = byName.get(organisation);
    if (!metrics) {
      metrics = {organisation, demandTokens: 0, goodTokens: 0};
      byName.set(organisation, metrics);
    }
    metrics.demandTokens += outputTokens;
    if (hasMetTargets(record)) metrics.goodTokens += record.producedTokens;
  }
  return [...byName.values()];
}

/**
 * Returns the lowest ratio of an organisation's good tokens to its weighted
 * max-min fair share of the good tokens of all organisations.
 */
export function computeWorstServedRatio(
  organisations: readonly OrganisationMetrics[],
  weightOf: (organisation: string) => number,
): number {
  const served = organisations.reduce(
    (sum, organisation) => sum + organisation.goodTokens,
    0,
  );
  const shares = computeFairShares(organisations, weightOf, served);
  return Math.min(
    ...organisations.map((organisation, index) =>
      shares[index] === 0 ? 1 : organisation.goodTokens / shares[index],
    ),
  );
}

/**
 * Divides an amount of tokens by weighted max-min fairness: no organisation gets
 * more than its demand, and the rest is divided by weight among the others.
 */
function computeFairShares(
  organisations: readonly OrganisationMetrics[],
  weightOf: (organisation: string) => number,
  amount: number,
): number[] {
  const shares = organisations.map(() => 0);
  let remaining = amount;
  let unsatisfied = organisations.map((_, index) => index);
  // Amounts up to 1e-6 tokens are rounding errors.
  while (unsatisfied.length > 0 && remaining > 1e-6) {
    const weights = unsatisfied.map(index =>
      weightOf(organisations[index].organisation),
    );
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    const granted = unsatisfied.map((index, position) =>
      Math.min(
        organisations[index].demandTokens - shares[index],
        (remaining * weights[position]) / totalWeight,
      ),
    );
    unsatisfied.forEach(
      (index, position) => (shares[index] += granted[position]),
    );
    remaining -= granted.reduce((sum, tokens) => sum + tokens, 0);
    const stillUnsatisfied = unsatisfied.filter(
      index => organisations[index].demandTokens - shares[index] > 1e-6,
    );
    if (stillUnsatisfied.length === unsatisfied.length) break;
    unsatisfied = stillUnsatisfied;
  }
  return shares;
}
