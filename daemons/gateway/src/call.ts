import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestFacts} from '@sardinestile/ports';
import type {KeyHolder, Route} from '@sardinestile/route_table';

/** A caller's request that was admitted to its route. */
export interface Call {
  request: IncomingMessage;
  response: ServerResponse;
  requestId: string;
  facts: RequestFacts;
  route: Route;
  service: string;
  organisation: KeyHolder | undefined;
  /** Rank among all requests; 0 is the most urgent. */
  urgency: number;
  configVersion: number;
  body: Buffer | null;
  arrivedAtMs: number;
  /** When the final answer is due. */
  endAtMs: number;
  /** When the caller gives up. */
  deadlineAtMs: number;
  /** Upstreams that the request was sent to. */
  triedIds: Set<string>;
  attempts: number;
  /** Whether some upstream may have begun to run it. */
  mayHaveRun: boolean;
  /** Whether its usage was counted. */
  isCounted: boolean;
  /** Last event that the caller got. */
  lastEventId: number | undefined;
  firstEventAtMs: number | undefined;
  isGone: boolean;
  /** Called when the caller has left or the answer is due. */
  onInterrupt: ((reason: InterruptReason) => void) | undefined;
}

/** Why a call is ended while an attempt runs. */
export type InterruptReason = 'callerLeft' | 'timeout';

/** What came of one attempt. */
export type AttemptOutcome =
  /** The caller has its final answer. */
  | {kind: 'answered'; status: number}
  /** The upstream's whole answer, which was not passed on yet. */
  | {kind: 'heldAnswer'; answer: BufferedAnswer}
  /** The request has not run there, and will not. */
  | {kind: 'notRun'; reason: string}
  /** Not a byte of the request left; it counts as no attempt. */
  | {kind: 'notSent'; reason: string}
  /** The request may have run; its answer is lost or incomplete. */
  | {kind: 'unknown'; reason: string}
  | {kind: 'interrupted'; reason: InterruptReason};

/** A whole answer of an upstream. */
export interface BufferedAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
  /** Whether it had no length and ended with its connection. */
  isUnframed: boolean;
}
