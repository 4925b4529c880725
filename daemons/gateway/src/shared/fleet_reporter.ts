import type {StreamOrigins} from '@sardinestile/continuation';
import type {UpstreamFleet, PlacedRequest} from '@sardinestile/fleet';
import type {LedgerLink, LedgerUpdate} from '@sardinestile/ledger';
import type {EvidenceItem} from '@sardinestile/quarantine';
import type {Clock} from '@sardinestile/types';

/** Records the progress of requests in the fleet models of this gateway and its peers. */
export interface FleetReporter {
  recordPlacement(request: PlacedRequest, nowMs: number): void;
  recordFirstEvent(upstreamId: string, requestId: string, nowMs: number): void;
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
  /** Applies an update that a peer sent. */
  applyPeerUpdate(peer: string, event: LedgerUpdate): void;
}

/** Options for `createFleetReporter`. */
export interface FleetReporterOptions {
  instance: string;
  fleet: UpstreamFleet;
  link: LedgerLink;
  clock: Clock;
  /** Receives which software versions began the streams of peers. */
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
  ) => void;
};

/** Creates a reporter. */
export function createFleetReporter(
  options: FleetReporterOptions,
): FleetReporter {
  const {instance, fleet, link, clock} = options;
  const applyEvidence = (_peer: string, item: EvidenceItem) =>
    options.onEvidence(item);
  const handlers: PeerUpdateHandlers = {
    placed: (peer, {promptParts, ...event}) =>
      fleet.recordPlacement(peer, {...event, promptParts}, clock.monotonicMs()),
    firstEvent(_peer, {upstreamId, requestId}) {
      const nowMs = clock.monotonicMs();
      fleet.recordFirstEvent(upstreamId, requestId, nowMs);
      const version = fleet.membership.get(upstreamId)?.softwareVersion;
      options.streamOrigins().record(requestId, version, nowMs);
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
      link.send(event, true);
    },
    recordFirstEvent(upstreamId, requestId, nowMs) {
      fleet.recordFirstEvent(upstreamId, requestId, nowMs);
      link.send({kind: 'firstEvent', requestId, upstreamId}, false);
    },
    recordEnd(upstreamId, requestId, hasFailed, nowMs) {
      fleet.recordEnd(upstreamId, requestId, nowMs);
      link.send({kind: 'ended', requestId, upstreamId, hasFailed}, false);
    },
    recordLeaving(upstreamId, startedAtWallMs) {
      link.send({kind: 'leaving', upstreamId, startedAtWallMs}, true);
    },
    recordLimit(upstreamId, startedAtWallMs, limitPerS) {
      link.send({kind: 'limit', upstreamId, startedAtWallMs, limitPerS}, true);
    },
    reportEvidence: item => link.send(item, true),
    applyPeerUpdate(peer, event) {
      (handlers[event.kind] as (peer: string, event: LedgerUpdate) => void)(
        peer,
        event,
      );
    },
  };
}
