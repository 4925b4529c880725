import type {RunOutcome} from '@sardinestile/types';

/** Options for createDispatch: the request and the rules for its retries. */
export interface DispatchOptions {
  requestId: string;
  isIdempotent: boolean;
  /** Whether another upstream can continue an answer that broke off. */
  isResumable: boolean;
  /** Whether an upstream with a free slot may start it before the commit. */
  canStartAtOnce: boolean;
  /** Returns the ids of the upstreams that are not excluded, best first. */
  rankUpstreams: (excluded: ReadonlySet<string>) => string[];
  /** Takes one retry from the budget; returns false if none is left. */
  takeRetry: () => boolean;
  nextAttemptId: () => string;
  /**
   * Time without an offer after which a further upstream is asked in parallel.
   */
  hedgeDelayMs: number;
  /** Time without an offer after which the request fails. */
  offerTimeoutMs: number;
}

/** Part of an answer as an upstream sent it for one attempt. */
export interface DispatchChunk {
  /** Position among the chunks of its attempt, from 0. */
  sequence: number;
  data: Uint8Array;
  tokens: number;
  text: string;
  finishReason: string;
}

/** Output that was delivered already; the next attempt continues after it. */
export interface ResumePoint {
  text: string;
  tokens: number;
}

/** Input of the state machine that dispatches a request. */
export type DispatchEvent =
  | {kind: 'started'}
  /** The upstream holds a free slot, or has started the request already. */
  | {kind: 'offered'; attemptId: string; hasStarted: boolean}
  | {kind: 'refused'; attemptId: string; code: string; retryAfterMs: number}
  | {kind: 'headArrived'; attemptId: string}
  | {kind: 'chunkArrived'; attemptId: string; chunk: DispatchChunk}
  | {
      kind: 'finished';
      attemptId: string;
      chunks: number;
      promptTokens: number;
      outputTokens: number;
    }
  | {
      kind: 'failed';
      attemptId: string;
      outcome: RunOutcome;
      code: string;
    }
  | {kind: 'sessionLost'; upstreamId: string}
  | {kind: 'callerLeft'}
  | {kind: 'keyWithdrawn'}
  /** The time of `nextDeadlineMs` was reached. */
  | {kind: 'timePassed'};

/** Action that the owner of a dispatch carries out. */
export type DispatchCommand =
  | {
      kind: 'reserve';
      attemptId: string;
      upstreamId: string;
      isResumed: boolean;
      /**
       * Output to continue after. Present if the upstream may start the
       * request before the commit.
       */
      resume?: ResumePoint;
    }
  | {kind: 'withdraw'; attemptId: string; upstreamId: string}
  | {
      kind: 'commit';
      attemptId: string;
      upstreamId: string;
      resume: ResumePoint;
    }
  | {kind: 'cancel'; attemptId: string; upstreamId: string}
  | {kind: 'deliverHead'; attemptId: string}
  | {kind: 'deliver'; chunk: DispatchChunk; upstreamId: string}
  | {kind: 'complete'; promptTokens: number; outputTokens: number}
  | {
      kind: 'fail';
      code: string;
      outcome: RunOutcome;
      retryAfterMs?: number;
    };

/**
 * State machine that controls one request from the first reservation to the
 * end. It does no I/O: events go in, commands come out.
 */
export interface Dispatch {
  /** Applies an event and returns the commands to carry out, in order. */
  handle(event: DispatchEvent, nowMs: number): DispatchCommand[];
  readonly isEnded: boolean;
  /**
   * Time at which the owner has to pass in `timePassed`; undefined if no
   * timer is needed.
   */
  nextDeadlineMs(): number | undefined;
  dump(): DispatchDump;
}

/** Fields of a dispatch in a state dump. */
export interface DispatchDump {
  requestId: string;
  committedUpstream?: string;
  openReservations: number;
  attempts: number;
  deliveredChunks: number;
}
