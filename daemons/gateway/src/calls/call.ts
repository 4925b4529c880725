import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestMetadata} from '@sardinestile/ports';
import type {RequestProfile} from '@sardinestile/quarantine';
import type {KeyHolder, Route} from '@sardinestile/route_table';
import type {MemoryAccount} from '../memory/memory_budget.js';
import type {CallerOutput} from './caller_output.js';

/** Lowest HTTP status that counts as a failure of the upstream. */
export const MIN_FAILURE_STATUS = 500;

/** A caller's request that was matched to its route. */
export interface Call {
  request: IncomingMessage;
  response: ServerResponse;
  /** What is held for the request and its response. */
  account: MemoryAccount;
  /** Writes responses that are forwarded as they arrive. */
  output: CallerOutput;
  requestId: string;
  requestMetadata: RequestMetadata;
  route: Route;
  /** Service that runs it; of a resumed stream the one that began it. */
  service: string;
  organisation: KeyHolder | undefined;
  /** Priority rank among all requests; 0 is the most urgent. */
  urgency: number;
  configVersion: number;
  body: Buffer | null;
  /** Drops the body, as no further attempt can be made. */
  dropBody: () => void;
  /** What it has in common with other requests that crash upstreams. */
  profile: RequestProfile;
  arrivedAtMs: number;
  /** End of the route's time limit. */
  routeDeadlineAtMs: number;
  /** End of the time that the caller waits. */
  callerDeadlineAtMs: number;
  /** Ids of the upstreams that were tried. */
  triedUpstreamIds: Set<string>;
  attempts: number;
  /** Whether an upstream may have started to run the request. */
  mayHaveRun: boolean;
  /** Whether the request was already counted as usage of its organisation. */
  isUsageCounted: boolean;
  /** Id of the last event that the caller received. */
  lastEventId: number | undefined;
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /**
   * Software version that began the stream, and has to go on with it; undefined before
   * the first event, and if it is unknown.
   */
  streamVersion: string | undefined;
  hasCallerDisconnected: boolean;
  /** Interrupts the running attempt when the caller disconnects or the deadline passes. */
  onInterrupt: ((reason: InterruptReason) => void) | undefined;
}

/** Why a running attempt is interrupted. */
export type InterruptReason =
  'callerLeft' | 'timeout' | 'memoryShort' | 'shutdown';

/** Outcome of one attempt. */
export type AttemptOutcome =
  /** The complete response was sent to the caller. */
  | {
      kind: 'answered';
      status: number;
      /** Whether the response had no length and ended when its connection closed. */
      isCloseDelimited: boolean;
    }
  /** The upstream's complete response is buffered and not sent to the caller yet. */
  | {kind: 'heldAnswer'; response: BufferedResponse}
  /** The upstream stated that the request has not run and will not run. */
  | {kind: 'notRun'; reason: string}
  /**
   * No byte of the request was sent; this does not count as an attempt. If `isBlocked`, it
   * was held back here, which says nothing about the upstream.
   */
  | {kind: 'notSent'; isBlocked: boolean; reason: string}
  /** The upstream cut off its response because the gateway had stopped reading it. */
  | {kind: 'cutOff'; reason: string; unreadMs: number}
  /** The request may have run; its response is missing or incomplete. */
  | UnknownOutcome
  | {kind: 'interrupted'; reason: InterruptReason};

/** Outcome of an attempt whose response is missing or incomplete. */
export interface UnknownOutcome {
  kind: 'unknown';
  reason: string;
  /** Present if the upstream's end of the connection was lost. */
  lostConnection?: {
    /** Whether the headers of the response had arrived. */
    hadHeaders: boolean;
  };
}

/** Complete response of an upstream. */
export interface BufferedResponse {
  status: number;
  headers: Record<string, string | string[]>;
  /** Its body, in parts. */
  parts: readonly Buffer[];
  /** Whether the response had no length and ended when its connection closed. */
  isCloseDelimited: boolean;
}
