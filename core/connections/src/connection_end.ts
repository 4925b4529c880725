import type {IncomingMessage} from 'node:http';

/** Why a connection ended. */
export type ConnectionEndReason =
  /** Its last response was sent and announced the close. */
  | 'answered'
  /** It carried no request when idle connections were ended. */
  | 'idle'
  /** The server stopped waiting for it. */
  | 'drainLimit'
  /** As `answered`, after the peer sent many more requests than may wait. */
  | 'overrun'
  /** Too much input waited in the process to be parsed, or its heap was full, and it held most. */
  | 'shed'
  /** A response that had begun was broken off. */
  | 'brokenOff'
  /** The peer closed or reset it, sent what cannot be parsed, or a time limit of the server passed. */
  | 'other';

/** How the peer ended its side of a connection. */
export type PeerEnd = 'closed' | 'reset';

/** What a connection held when it ended. */
export interface ConnectionEnd {
  reason: ConnectionEndReason;
  /** Address of the peer, as host:port. */
  peer: string;
  /** How the peer ended it; absent if the server ended it first. */
  peerEnd?: PeerEnd;
  /** Requests that were taken and whose responses were not sent whole. */
  openRequests: readonly IncomingMessage[];
  /** Number of these requests that had not arrived whole. */
  incompleteRequests: number;
  /** Whether a response had begun and was not sent whole. */
  isResponseCut: boolean;
  /** Bytes of responses that the operating system had not taken. */
  unsentBytes: number;
  /** Bytes of a request that had not arrived whole. */
  partialRequestBytes: number;
  /** Time since the last request or response on it, in milliseconds. */
  idleMs: number;
}
