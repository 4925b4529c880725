import type {RefusalCode} from '@sardinestile/errors';
import type {RunOutcome} from '@sardinestile/types';

/** A header of a request or response. The name is in lower case. */
export interface UpstreamHeader {
  name: string;
  value: string;
}

/** A request that an adapter sends to its upstream. */
export interface UpstreamRequest {
  method: string;
  /** Path with the query string. */
  path: string;
  headers: readonly UpstreamHeader[];
  body: Uint8Array;
  /** Engines that support priorities run lower values first. */
  priority: number;
  /** Output of an interrupted run that the engine continues; empty for a new run. */
  resumeText: string;
  /** Number of tokens in `resumeText`. */
  resumeTokens: number;
}

/** A part of an upstream's response: the head, a chunk of data, or the end. */
export type UpstreamEvent =
  | {kind: 'head'; status: number; headers: UpstreamHeader[]}
  | {
      kind: 'data';
      /** Bytes of a plain service's response, or the JSON of an engine's delta. */
      data: Uint8Array;
      tokens: number;
      /** Generated text; empty for plain services. */
      text: string;
      finishReason: string;
    }
  | {kind: 'end'; promptTokens: number; outputTokens: number};

/** Numbers of running and waiting requests that an upstream reports. */
export interface UpstreamLoad {
  running: number;
  waiting: number;
}

/** A control command for an upstream, such as loading a model. */
export interface UpstreamCommand {
  fencingToken: number;
  order: string;
}

/** Adapter to a model engine or plain service. */
export interface UpstreamAdapter {
  /**
   * Runs a request without retries. The iteration ends with an `end` event or
   * throws `UpstreamError`. Aborting the signal cancels the request.
   */
  run(
    request: UpstreamRequest,
    signal: AbortSignal,
  ): AsyncIterable<UpstreamEvent>;
  /** Reads the current load. Rejects if the upstream cannot be reached. */
  readLoad(): Promise<UpstreamLoad>;
  /** Throws `UpstreamError` if the upstream rejects the command. */
  sendCommand(command: UpstreamCommand): Promise<void>;
  /** Closes all connections; requests in progress fail. */
  close(): Promise<void>;
}

/** Error of a failed run. `outcome` says whether the request may have run. */
export class UpstreamError extends Error {
  constructor(
    readonly outcome: RunOutcome,
    readonly code: RefusalCode,
    message: string,
  ) {
    super(message);
    this.name = 'UpstreamError';
  }
}
