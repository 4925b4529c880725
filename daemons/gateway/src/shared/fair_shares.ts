import type {AdmissionShare} from '@sardinestile/admission';
import {
  divideIntoGroups,
  sortByHash,
  type GroupAssignment,
  type Placement,
  type UpstreamFleet,
} from '@sardinestile/fleet';
import type {LedgerLink, LedgerUpdate} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {GroupUsage} from '@sardinestile/peer';
import {
  createShareFinder,
  createUsageSums,
  type SharePosition,
} from '@sardinestile/shares';
import type {Clock} from '@sardinestile/types';
import type {Call} from '../calls/call.js';
import type {RegisteredGateway} from './peer_registry.js';

/** Interval at which the sums are sent, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Weight of the newest request in the averages of output tokens and slot times. */
const NEWEST_WEIGHT = 0.05;

/** Output tokens and slot time assumed before a request of the kind has ended. */
const INITIAL_OUTPUT_TOKENS = 50;
const INITIAL_SLOT_MS = 100;

/** Weight of an output token relative to an input token, unless it is set. */
export const DEFAULT_OUTPUT_TOKEN_WEIGHT = 4;

/** Settings of fair sharing. */
export interface FairShareSettings {
  isEnabled: boolean;
  outputTokenWeight: number;
}

/** Position of a call with the values that admission uses. */
export type CallShare = AdmissionShare &
  SharePosition & {
    /**
     * Time between two requests like this one at this gateway, one of several, if the
     * organisation keeps to its share, in milliseconds.
     */
    turnIntervalMs: number;
  };

/** Shares of the organisations in scarce capacity. */
export interface FairShares {
  /**
   * Counts a call that arrived and returns where its organisation stands; undefined
   * while capacity is not short, and if organisations do not share it.
   */
  recordDemand(
    call: Call,
    placement: Placement,
    nowMs: number,
  ): CallShare | undefined;
  /** Counts a call that is sent to an upstream, once. */
  recordAdmission(call: Call, nowMs: number): void;
  /** Learns what a call needed, for the prediction of later ones. */
  recordEnd(call: Call, nowMs: number): void;
  applyPeerUpdate(
    peer: string,
    update: Extract<LedgerUpdate, {kind: 'usage'}>,
  ): void;
  /** Takes over the usage of another group and passes it on to this one. */
  applyGroupUsage(usage: GroupUsage): void;
  stop(): void;
}

/** Options for `startFairShares`. */
export interface FairSharesOptions {
  instance: string;
  settings: FairShareSettings;
  /** Whether the configuration holds organisations. */
  hasOrganisations: () => boolean;
  fleet: UpstreamFleet;
  link: LedgerLink;
  group: () => GroupAssignment;
  registeredGateways: () => readonly RegisteredGateway[];
  sendGroupUsage: (address: string, usage: GroupUsage) => Promise<void>;
  clock: Clock;
  logger: Logger;
}

/** Starts to count usage and to exchange it with the other gateways. */
export function startFairShares(options: FairSharesOptions): FairShares {
  const {instance, settings, fleet, link, clock, logger} = options;
  const usage = createUsageSums();
  const finder = createShareFinder(usage);
  /** Output tokens or slot times by service, organisation and route. */
  const averages = new Map<string, number>();
  /** Calls that were counted; one that could not be sent is decided about again. */
  const asked = new WeakSet<Call>();
  const admitted = new WeakSet<Call>();
  const isActive = () => settings.isEnabled && options.hasOrganisations();
  const hasTokens = ({service}: Call) => fleet.traitsOf(service) !== undefined;
  const averageOf = (call: Call) =>
    averages.get(averageKey(call)) ??
    (hasTokens(call) ? INITIAL_OUTPUT_TOKENS : INITIAL_SLOT_MS);
  const unitsOf = (call: Call) =>
    hasTokens(call)
      ? call.requestMetadata.promptTokens +
        settings.outputTokenWeight * averageOf(call)
      : averageOf(call);

  /** Work at an upstream, in milliseconds; a plain one works off its requests by its slots. */
  const backlogMsOf = (
    call: Call,
    {upstream, state}: Placement,
    nowMs: number,
  ) => {
    if (hasTokens(call)) return state.prefillQueue.totalMs(nowMs);
    const waiting = state.running - upstream.places + 1;
    return (Math.max(0, waiting) / upstream.places) * averageOf(call);
  };
  const sendReports = () => {
    if (!isActive()) return;
    const nowMs = clock.monotonicMs();
    for (const report of usage.report(() => false, nowMs)) {
      if (report.sums.length === 0) continue;
      link.send({kind: 'usage', ageMs: 0, ...report}, false);
    }
    if (isSenderOfGroup()) sendToOtherGroups(nowMs);
  };
  const isSenderOfGroup = () => {
    if (options.group().count === 1) return false;
    const peers = link.livePeers().filter(({isStopping}) => !isStopping);
    const names = [instance, ...peers.map(peer => peer.instance)];
    return sortByHash(names, name => name)[0] === instance;
  };
  const sendToOtherGroups = (nowMs: number) => {
    const own = options.group().index;
    const reports = usage.report(isGateway, nowMs);
    const groups = divideIntoGroups(
      options.registeredGateways(),
      gateway => gateway.instance,
    );
    groups.forEach((members, group) => {
      if (group === own || members.length === 0) return;
      const receiver = members[Math.floor(Math.random() * members.length)];
      const {host, port} = receiver.address;
      options
        .sendGroupUsage(`${host}:${port}`, {group: own, reports})
        .catch((error: Error) =>
          logger.info('peer_failed', {
            operation: 'send the usage of the group',
            reason: `${receiver.instance}: ${error.message}`,
          }),
        );
    });
  };
  const timer = setInterval(sendReports, REPORT_INTERVAL_MS);
  return {
    recordDemand(call, placement, nowMs) {
      if (!isActive()) return undefined;
      const key = keyOf(call);
      const units = unitsOf(call);
      if (!asked.has(call)) usage.recordDemand(key, units, nowMs);
      asked.add(call);
      const backlogMs = backlogMsOf(call, placement, nowMs);
      const workMs = hasTokens(call)
        ? placement.expectedFirstEventMs - placement.expectedWaitMs
        : averageOf(call);
      const position = finder.find({...key, units, backlogMs, workMs}, nowMs);
      if (!position) return undefined;
      const gateways = Math.max(1, options.registeredGateways().length);
      const turnIntervalMs = (1_000 * units * gateways) / position.sharePerS;
      return {...position, backlogMs, draw: Math.random(), turnIntervalMs};
    },
    recordAdmission(call, nowMs) {
      if (!isActive() || admitted.has(call)) return;
      admitted.add(call);
      usage.recordUsage(keyOf(call), unitsOf(call), nowMs);
    },
    recordEnd(call, nowMs) {
      if (call.attempts === 0) return;
      // An event counts as one output token, as upstreams do not state the number.
      const events =
        (call.lastEventId ?? 0) - (call.requestMetadata.lastEventId ?? 0);
      const needed = hasTokens(call)
        ? Math.max(0, events)
        : nowMs - call.arrivedAtMs;
      const average = averageOf(call);
      averages.set(
        averageKey(call),
        average + NEWEST_WEIGHT * (needed - average),
      );
    },
    applyPeerUpdate(peer, {group, ageMs, ...report}) {
      if (group === options.group().index) return;
      usage.applyReport(
        group === undefined ? gatewaySource(peer) : groupSource(group),
        report,
        ageMs,
        clock.monotonicMs(),
      );
    },
    applyGroupUsage({group, reports}) {
      if (group === options.group().index) return;
      for (const report of reports) {
        usage.applyReport(groupSource(group), report, 0, clock.monotonicMs());
        link.send({kind: 'usage', group, ageMs: 0, ...report}, false);
      }
    },
    stop: () => clearInterval(timer),
  };
}

/** Calls without an organisation, on open routes, share capacity as one. */
function keyOf({organisation, service, urgency}: Call) {
  return {organisation: organisation?.name ?? '', service, urgency};
}

function averageKey({organisation, service, route}: Call): string {
  return `${service} ${organisation?.name ?? ''} ${route.name}`;
}

function gatewaySource(instance: string): string {
  return `gateway ${instance}`;
}

function groupSource(group: number): string {
  return `group ${group}`;
}

function isGateway(source: string): boolean {
  return source.startsWith('gateway ');
}
