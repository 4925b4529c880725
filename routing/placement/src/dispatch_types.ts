import type {RunOutcome} from '@sardinestile/types';

/** Options for createDispatch: the request and the rules for its retries. */
export interface DispatchOptions {
  requestId: string;
  isIdempotent: boolean;
  /** Whether another upstream can continue an interrupted response. */
  isResumable: boolean;
  /**
   * Whether an upstream with a free slot may start the request before the
   * commit, which saves a round trip.
   */
  canStartBeforeCommit: boolean;
  /** Returns the ids of the upstreams that are not excluded, best first. */
  rankUpstreams: (excluded: ReadonlySet<string>) => string[];
  /** Takes one retry from the budget; returns false if none is left. */
  tryTakeRetry: () => boolean;
  createAttemptId: () => string;
  /**
   * Time without an offer after which a further upstream is asked in parallel.
   */
  hedgeDelayMs: number;
  /**
   * Returns the time without an offer after which the request fails. It is asked for
   * when the first upstream is asked, and again after a committed attempt failed.
   */
  offerTimeoutMs: (isResumed: boolean) => number;
}

/** Part of a response as an upstream sent it for one attempt. */
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
  /** The request is to be dispatched; the first event. */
  | {kind: 'started'}
  /** The upstream holds a free slot, or has started the request already. */
  | {kind: 'offered'; attemptId: string; hasStarted: boolean}
  /** The upstream rejected the reservation. */
  | {kind: 'refused'; attemptId: string; code: string; retryAfterMs: number}
  /** The status and the headers of the response arrived. */
  | {kind: 'headReceived'; attemptId: string}
  | {kind: 'chunkReceived'; attemptId: string; chunk: DispatchChunk}
  /** The upstream sent the whole response, in this number of chunks. */
  | {
      kind: 'finished';
      attemptId: string;
      chunks: number;
      promptTokens: number;
      outputTokens: number;
    }
  /** The attempt ended without a complete response. */
  | {
      kind: 'failed';
      attemptId: string;
      outcome: RunOutcome;
      code: string;
    }
  /** The session to the agent of the upstream was closed or lost. */
  | {kind: 'sessionLost'; upstreamId: string}
  /** The caller closed its connection. */
  | {kind: 'callerDisconnected'}
  /** The API key of the caller was revoked. */
  | {kind: 'keyRevoked'}
  /** The time of `nextDeadlineMs` was reached. */
  | {kind: 'timePassed'};

/** Action that the owner of a dispatch carries out. */
export type DispatchCommand =
  /** Asks an upstream for a slot. */
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
  /** Gives up a reservation that is not committed. */
  | {kind: 'withdraw'; attemptId: string; upstreamId: string}
  /** Starts the request at the upstream that offered a slot. */
  | {
      kind: 'commit';
      attemptId: string;
      upstreamId: string;
      resume: ResumePoint;
    }
  /** Stops the committed attempt. */
  | {kind: 'cancel'; attemptId: string; upstreamId: string}
  /** Sends the status and the headers of the response to the caller. */
  | {kind: 'deliverHead'; attemptId: string}
  /** Sends a chunk of the response to the caller. */
  | {kind: 'deliver'; chunk: DispatchChunk; upstreamId: string}
  /** Ends the request after a complete response. */
  | {kind: 'complete'; promptTokens: number; outputTokens: number}
  /** Ends the request with an error. */
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
