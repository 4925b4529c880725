import {z} from 'zod';

/**
 * Time constant of the demand, in milliseconds: long enough to average the arrivals
 * of a small organisation, short enough to follow a burst.
 */
export const DEMAND_TIME_CONSTANT_MS = 3_000;

/**
 * Time constant of the usage, which is the estimate of the capacity. At that of the
 * demand, the admitted part of a burst raised the estimate and the shares oscillated.
 */
const USAGE_TIME_CONSTANT_MS = 10_000;

/** Time constant of the usual usage; bursts of some seconds hardly change it. */
const USUAL_TIME_CONSTANT_MS = 300_000;

/** Age at which sums of another gateway no longer count: five lost messages. */
const MAX_SUMS_AGE_MS = 5_000;

/** Sums below this part of a service's total are not sent. */
const MIN_REPORTED_SHARE = 0.002;

/** Most sums of a service in one message, so that it fits into one datagram. */
export const MAX_REPORTED_SUMS = 32;

/**
 * Part of the demand that counts when the sums to send are chosen. By the whole demand,
 * only the sums that were above their average by chance were sent.
 */
const DEMAND_SELECTION_SHARE = 0.25;

/** Shortest time over which rates are computed, in milliseconds. */
const MIN_COUNTED_MS = 500;

/** Schema of UsageSum. */
export const usageSumSchema = z.object({
  organisation: z.string(),
  /** Rank of the requests; 0 is the most urgent. */
  urgency: z.number().int().nonnegative(),
  /** Units a second that were asked for. */
  demandPerS: z.number().nonnegative(),
  /** Units a second that were admitted. */
  usagePerS: z.number().nonnegative(),
  /** Units a second that are usually admitted, less as long as little time was counted. */
  usualPerS: z.number().nonnegative(),
});

/** Recent demand and usage of one organisation at one service and urgency. */
export type UsageSum = z.infer<typeof usageSumSchema>;

/** What a request belongs to. */
export interface UsageKey extends Pick<UsageSum, 'organisation' | 'urgency'> {
  service: string;
}

/** Schema of UsageReport. */
export const usageReportSchema = z.object({
  service: z.string(),
  sums: z.array(usageSumSchema),
  /** Number of gateways whose requests were counted. */
  gateways: z.number().nonnegative(),
  /** Parts of their usual usage that they have counted so far, 0 to 1 each, added up. */
  maturity: z.number().nonnegative(),
});

/** Sums of a service that one or several gateways counted. */
export type UsageReport = z.infer<typeof usageReportSchema>;

/** Sums of a service over all gateways that were heard of, and how old they are. */
export interface ServiceUsage {
  sums: readonly UsageSum[];
  /** Number of gateways whose requests were counted. */
  gateways: number;
  /** Age of the oldest sums that are included, in milliseconds. */
  ageMs: number;
}

/** Usage of organisations, as this gateway counted it and as others reported theirs. */
export interface UsageSums {
  /** Counts a request that arrived at this gateway. */
  recordDemand(key: UsageKey, units: number, nowMs: number): void;
  /** Counts a request that this gateway admitted. */
  recordUsage(key: UsageKey, units: number, nowMs: number): void;
  /**
   * Replaces what a source reported about a service. A source is a gateway or a group
   * of them. `ageMs` is the age of the sums when they arrived.
   */
  applyReport(
    source: string,
    report: UsageReport,
    ageMs: number,
    nowMs: number,
  ): void;
  /** Returns the heaviest sums of each service over this gateway and the given sources. */
  report(includes: (source: string) => boolean, nowMs: number): UsageReport[];
  /** Returns the sums of one service over this gateway and all sources. */
  serviceUsage(service: string, nowMs: number): ServiceUsage;
}

/** Sum of units whose weight decays with their age. */
interface Sum {
  units: number;
  updatedAtMs: number;
}

interface OwnSums {
  key: UsageKey;
  demand: Sum;
  usage: Sum;
  usual: Sum;
}

interface ReceivedReport extends UsageReport {
  source: string;
  /** Time as of which the sums were counted. */
  countedAtMs: number;
}

/** Creates sums without usage. */
export function createUsageSums(): UsageSums {
  const own = new Map<string, OwnSums>();
  const received = new Map<string, ReceivedReport>();
  let startedAtMs: number | undefined;

  const ownSumsOf = (
    {organisation, service, urgency}: UsageKey,
    nowMs: number,
  ) => {
    startedAtMs ??= nowMs;
    const key = {organisation, service, urgency};
    const id = idOf(key);
    let sums = own.get(id);
    if (!sums) {
      const empty = {units: 0, updatedAtMs: nowMs};
      sums = {key, demand: {...empty}, usage: {...empty}, usual: {...empty}};
      own.set(id, sums);
    }
    return sums;
  };
  /** Part of a sum that has been counted since the start. */
  const countedPart = (timeConstantMs: number, nowMs: number) => {
    const countedMs = Math.max(MIN_COUNTED_MS, nowMs - (startedAtMs ?? nowMs));
    return 1 - Math.exp(-countedMs / timeConstantMs);
  };
  const readOwn = (service: string, nowMs: number): UsageReport => {
    const rate = (sum: Sum, timeConstantMs: number) =>
      (decay(sum, timeConstantMs, nowMs) * 1_000) / timeConstantMs;
    // An organisation that has just appeared has no part of its own: its first
    // request would look like a high rate.
    const demandPart = countedPart(DEMAND_TIME_CONSTANT_MS, nowMs);
    const usagePart = countedPart(USAGE_TIME_CONSTANT_MS, nowMs);
    const ofService = [...own.values()].filter(
      ({key}) => key.service === service,
    );
    return {
      service,
      sums: ofService.map(({key, demand, usage, usual}) => ({
        organisation: key.organisation,
        urgency: key.urgency,
        demandPerS: rate(demand, DEMAND_TIME_CONSTANT_MS) / demandPart,
        usagePerS: rate(usage, USAGE_TIME_CONSTANT_MS) / usagePart,
        usualPerS: rate(usual, USUAL_TIME_CONSTANT_MS),
      })),
      gateways: 1,
      maturity: countedPart(USUAL_TIME_CONSTANT_MS, nowMs),
    };
  };
  const collect = (
    service: string,
    includes: (source: string) => boolean,
    nowMs: number,
  ) => {
    for (const [id, {countedAtMs}] of received) {
      if (nowMs - countedAtMs > MAX_SUMS_AGE_MS) received.delete(id);
    }
    const included = [...received.values()].filter(
      report => report.service === service && includes(report.source),
    );
    return {
      total: addUp([readOwn(service, nowMs), ...included]),
      ageMs: Math.max(
        0,
        ...included.map(({countedAtMs}) => nowMs - countedAtMs),
      ),
    };
  };
  return {
    recordDemand: (key, units, nowMs) =>
      add(ownSumsOf(key, nowMs).demand, DEMAND_TIME_CONSTANT_MS, units, nowMs),
    recordUsage(key, units, nowMs) {
      const {usage, usual} = ownSumsOf(key, nowMs);
      add(usage, USAGE_TIME_CONSTANT_MS, units, nowMs);
      add(usual, USUAL_TIME_CONSTANT_MS, units, nowMs);
    },
    applyReport(source, report, ageMs, nowMs) {
      const id = `${source} ${report.service}`;
      received.set(id, {...report, source, countedAtMs: nowMs - ageMs});
    },
    report(includes, nowMs) {
      const services = new Set([
        ...[...own.values()].map(({key}) => key.service),
        ...[...received.values()].map(({service}) => service),
      ]);
      return [...services].map(service => {
        const {total} = collect(service, includes, nowMs);
        return {service, ...total, sums: selectHeaviest(total.sums)};
      });
    },
    serviceUsage(service, nowMs) {
      const {total, ageMs} = collect(service, () => true, nowMs);
      const {sums, gateways, maturity} = total;
      // Gateways that have just started count the usual usage of the others.
      const factor = gateways / maturity;
      return {
        sums: sums.map(sum => ({...sum, usualPerS: sum.usualPerS * factor})),
        gateways,
        ageMs,
      };
    },
  };
}

function decay(sum: Sum, timeConstantMs: number, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - sum.updatedAtMs);
  return sum.units * Math.exp(-elapsedMs / timeConstantMs);
}

function add(
  sum: Sum,
  timeConstantMs: number,
  units: number,
  nowMs: number,
): void {
  sum.units = decay(sum, timeConstantMs, nowMs) + units;
  sum.updatedAtMs = nowMs;
}

function idOf({organisation, service, urgency}: UsageKey): string {
  return `${urgency} ${service} ${organisation}`;
}

/** Adds up reports about a service, and their sums of the same organisation and urgency. */
function addUp(reports: readonly UsageReport[]): Omit<UsageReport, 'service'> {
  const totals = new Map<string, UsageSum>();
  for (const sum of reports.flatMap(({sums}) => sums)) {
    const id = `${sum.urgency} ${sum.organisation}`;
    const total = totals.get(id);
    if (!total) {
      totals.set(id, {...sum});
      continue;
    }
    total.demandPerS += sum.demandPerS;
    total.usagePerS += sum.usagePerS;
    total.usualPerS += sum.usualPerS;
  }
  return {
    sums: [...totals.values()],
    gateways: reports.reduce((count, {gateways}) => count + gateways, 0),
    maturity: reports.reduce((count, {maturity}) => count + maturity, 0),
  };
}

/** Returns the notable sums, the heaviest first. */
function selectHeaviest(sums: readonly UsageSum[]): UsageSum[] {
  const total = sums.reduce((total, sum) => total + weightOf(sum), 0);
  return sums
    .filter(sum => weightOf(sum) > MIN_REPORTED_SHARE * total)
    .sort((a, b) => weightOf(b) - weightOf(a))
    .slice(0, MAX_REPORTED_SUMS);
}

function weightOf({demandPerS, usualPerS}: UsageSum): number {
  return Math.max(DEMAND_SELECTION_SHARE * demandPerS, usualPerS);
}
