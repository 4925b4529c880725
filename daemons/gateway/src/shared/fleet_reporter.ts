import type {BegunStream, StreamOrigins} from '@sardinestile/continuation';
import type {UpstreamFleet, PlacedRequest} from '@sardinestile/fleet';
import type {LedgerLink, LedgerUpdate} from '@sardinestile/ledger';
import type {EvidenceItem} from '@sardinestile/quarantine';
import type {Clock} from '@sardinestile/types';

/**
 * Kinds of updates that gateways of other groups send. Evidence about prompt parts
 * spreads between groups by the store.
 */
const KINDS_BETWEEN_GROUPS: ReadonlySet<LedgerUpdate['kind']> = new Set([
  'placed',
  'firstEvent',
  'ended',
  'leaving',
  'limit',
]);

/** Records the progress of requests in the fleet models of this gateway and its peers. */
export interface FleetReporter {
  recordPlacement(request: PlacedRequest, nowMs: number): void;
  recordFirstEvent(
    upstreamId: string,
    requestId: string,
    origin: BegunStream,
    nowMs: number,
  ): void;
  /** `hasFailed` is undefined if the outcome says nothing about the upstream. */
  recordEnd(
    upstreamId: string,
    requestId: string,
    hasFailed: boolean | undefined,
    nowMs: number,
  ): void;
  /** Records that an upstream stated that it is leaving. */
  recordLeaving(upstreamId: string, startedAtWallMs: number): void;
  /** Records that an upstream stated another limit; undefined if it states none any more. */
  recordLimit(
    upstreamId: string,
    startedAtWallMs: number,
    limitPerS: number | undefined,
  ): void;
  /** Sends evidence about prompt parts and requests to the peers. */
  reportEvidence(item: EvidenceItem): void;
  /** Applies an update that a peer or a gateway of another group sent. */
  applyPeerUpdate(
    peer: string,
    event: LedgerUpdate,
    isFromOtherGroup: boolean,
  ): void;
}

/** Options for `createFleetReporter`. */
export interface FleetReporterOptions {
  instance: string;
  fleet: UpstreamFleet;
  link: LedgerLink;
  clock: Clock;
  /** Receives which services and software versions began the streams of peers. */
  streamOrigins: () => StreamOrigins;
  /** Receives what organisations were given at peers or in other groups. */
  onUsage: (
    peer: string,
    update: Extract<LedgerUpdate, {kind: 'usage'}>,
  ) => void;
  /** Receives evidence about prompt parts and requests from a peer. */
  onEvidence: (item: EvidenceItem) => void;
}

type PeerUpdateHandlers = {
  [K in LedgerUpdate['kind']]: (
    peer: string,
    event: Extract<LedgerUpdate, {kind: K}>,
    isFromOtherGroup: boolean,
  ) => void;
};

/** Creates a reporter. */
export function createFleetReporter(
  options: FleetReporterOptions,
): FleetReporter {
  const {instance, fleet, link, clock} = options;
  const applyEvidence = (_peer: string, item: EvidenceItem) =>
    options.onEvidence(item);
  /** Requests of whose start all groups were told, so that they hear of the end, too. */
  const toldToAll = new Set<string>();
  const isShared = (upstreamId: string) => {
    const record = fleet.membership.get(upstreamId);
    return record !== undefined && fleet.isSharedByGroups(record.service);
  };
  /** Returns what began a stream by this gateway's own list, for peers that do not state it. */
  const listedOrigin = (upstreamId: string): BegunStream | undefined => {
    const record = fleet.membership.get(upstreamId);
    if (!record) return undefined;
    const softwareVersion = fleet.coldUpstreams.versionOf(record);
    return {service: record.service, softwareVersion};
  };
  const handlers: PeerUpdateHandlers = {
    placed: (peer, event, isFromOtherGroup) =>
      fleet.recordPlacement(peer, event, clock.monotonicMs(), isFromOtherGroup),
    firstEvent(_peer, {upstreamId, requestId, service, softwareVersion}) {
      const nowMs = clock.monotonicMs();
      fleet.recordFirstEvent(upstreamId, requestId, nowMs);
      const origin =
        service === undefined
          ? listedOrigin(upstreamId)
          : {service, softwareVersion};
      if (origin) options.streamOrigins().record(requestId, origin, nowMs);
    },
    leaving: (_peer, {upstreamId, startedAtWallMs}) =>
      void fleet.membership.markLeaving({id: upstreamId, startedAtWallMs}),
    limit: (_peer, {upstreamId, startedAtWallMs, limitPerS}) =>
      fleet.requestLimits.applyPeer(
        {id: upstreamId, startedAtWallMs},
        limitPerS,
        clock.monotonicMs(),
      ),
    crash: applyEvidence,
    answer: applyEvidence,
    harmful: applyEvidence,
    usage: (peer, update) => options.onUsage(peer, update),
    ended(_peer, {upstreamId, requestId, hasFailed}) {
      const nowMs = clock.monotonicMs();
      fleet.recordEnd(upstreamId, requestId, nowMs);
      if (hasFailed !== undefined) {
        fleet.recordPeerOutcome(upstreamId, hasFailed, nowMs);
      }
    },
  };
  return {
    recordPlacement(request, nowMs) {
      fleet.recordPlacement(instance, request, nowMs);
      const {requestId, upstreamId, promptParts, uncachedTokens} = request;
      const {promptTokens, urgency, targetGapMs} = request;
      const event: LedgerUpdate = {
        kind: 'placed',
        requestId,
        upstreamId,
        promptParts: [...promptParts],
        uncachedTokens,
        promptTokens,
        urgency,
        targetGapMs,
      };
      const isForAllGroups = isShared(upstreamId);
      if (isForAllGroups) toldToAll.add(requestKey(upstreamId, requestId));
      link.send(event, true, isForAllGroups);
    },
    recordFirstEvent(upstreamId, requestId, origin, nowMs) {
      fleet.recordFirstEvent(upstreamId, requestId, nowMs);
      const record = fleet.membership.get(upstreamId);
      // Peers of an older build would record the version in the registration, which may
      // be outdated.
      if (record && fleet.coldUpstreams.isInDoubt(record)) return;
      const isForAllGroups = toldToAll.has(requestKey(upstreamId, requestId));
      link.send(
        {kind: 'firstEvent', requestId, upstreamId, ...origin},
        false,
        isForAllGroups,
      );
    },
    recordEnd(upstreamId, requestId, hasFailed, nowMs) {
      fleet.recordEnd(upstreamId, requestId, nowMs);
      const isForAllGroups = toldToAll.delete(
        requestKey(upstreamId, requestId),
      );
      link.send(
        {kind: 'ended', requestId, upstreamId, hasFailed},
        false,
        isForAllGroups,
      );
    },
    recordLeaving(upstreamId, startedAtWallMs) {
      link.send(
        {kind: 'leaving', upstreamId, startedAtWallMs},
        true,
        isShared(upstreamId),
      );
    },
    recordLimit(upstreamId, startedAtWallMs, limitPerS) {
      link.send(
        {kind: 'limit', upstreamId, startedAtWallMs, limitPerS},
        true,
        isShared(upstreamId),
      );
    },
    reportEvidence: item => link.send(item, true),
    applyPeerUpdate(peer, event, isFromOtherGroup) {
      if (isFromOtherGroup && !KINDS_BETWEEN_GROUPS.has(event.kind)) return;
      const handle = handlers[event.kind] as (
        peer: string,
        event: LedgerUpdate,
        isFromOtherGroup: boolean,
      ) => void;
      handle(peer, event, isFromOtherGroup);
    },
  };
}

function requestKey(upstreamId: string, requestId: string): string {
  return `${upstreamId} ${requestId}`;
}
