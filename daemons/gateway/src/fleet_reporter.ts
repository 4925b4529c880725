import type {Fleet, PlacedRequest} from '@sardinestile/fleet';
import type {LedgerLink, LedgerNews} from '@sardinestile/ledger';
import type {Clock} from '@sardinestile/types';

/** Keeps the models of all gateways up to date. */
export interface FleetReporter {
  placed(request: PlacedRequest, nowMs: number): void;
  firstEvent(upstreamId: string, requestId: string, nowMs: number): void;
  /** `hasFailed` is undefined where the end says nothing about the upstream. */
  ended(
    upstreamId: string,
    requestId: string,
    hasFailed: boolean | undefined,
    nowMs: number,
  ): void;
  /** Takes news of another gateway. */
  applyNews(peer: string, news: LedgerNews): void;
}

/** What a reporter connects. */
export interface FleetReporterOptions {
  instance: string;
  fleet: Fleet;
  link: LedgerLink;
  clock: Clock;
}

type NewsHandlers = {
  [K in LedgerNews['kind']]: (
    peer: string,
    news: Extract<LedgerNews, {kind: K}>,
  ) => void;
};

/** Makes a reporter. */
export function createFleetReporter(
  options: FleetReporterOptions,
): FleetReporter {
  const {instance, fleet, link, clock} = options;
  const handlers: NewsHandlers = {
    placed: (peer, {parts, ...news}) =>
      fleet.recordPlaced(
        peer,
        {...news, promptParts: parts},
        clock.monotonicMs(),
      ),
    firstEvent: (_peer, {upstreamId, requestId}) =>
      fleet.recordFirstEvent(upstreamId, requestId, clock.monotonicMs()),
    ended(_peer, {upstreamId, requestId, hasFailed}) {
      const nowMs = clock.monotonicMs();
      fleet.recordEnded(upstreamId, requestId, nowMs);
      if (hasFailed !== undefined) {
        fleet.recordPeerOutcome(upstreamId, hasFailed, nowMs);
      }
    },
  };
  return {
    placed(request, nowMs) {
      fleet.recordPlaced(instance, request, nowMs);
      const {requestId, upstreamId, promptParts, unreadTokens} = request;
      const {promptTokens, urgency, targetGapMs} = request;
      const news: LedgerNews = {
        kind: 'placed',
        requestId,
        upstreamId,
        parts: [...promptParts],
        unreadTokens,
        promptTokens,
        urgency,
        targetGapMs,
      };
      link.send(news, true);
    },
    firstEvent(upstreamId, requestId, nowMs) {
      fleet.recordFirstEvent(upstreamId, requestId, nowMs);
      link.send({kind: 'firstEvent', requestId, upstreamId}, false);
    },
    ended(upstreamId, requestId, hasFailed, nowMs) {
      fleet.recordEnded(upstreamId, requestId, nowMs);
      link.send({kind: 'ended', requestId, upstreamId, hasFailed}, false);
    },
    applyNews(peer, news) {
      (handlers[news.kind] as (peer: string, news: LedgerNews) => void)(
        peer,
        news,
      );
    },
  };
}
