/** A part of a prompt that an engine can cache; other requests may share it. */
export interface PromptPart {
  /** Equal for parts with equal text and equal model. */
  id: string;
  tokens: number;
}

/** Headers as Node.js parses them; names are in lower case. */
export type ParsedHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Metadata of a request, as the caller's headers state it. */
export interface RequestMetadata {
  requestId: string | undefined;
  /** Time for which the caller waits after sending the request, in milliseconds. */
  deadlineMs: number | undefined;
  key: string | undefined;
  /** Id of the last event that the caller has; a resumed stream continues after it. */
  lastEventId: number | undefined;
  /**
   * Id of the request that brought the first event of the stream that the caller
   * resumes; absent if it resumes none.
   */
  resumedRequestId: string | undefined;
  promptTokens: number;
  /** Parts of the prompt in order; the last one belongs to this request only. */
  promptParts: PromptPart[];
}

/** Metadata that the gateway adds to the caller's headers for an upstream. */
export interface UpstreamRequestMetadata {
  /** Time after which the upstream may stop processing the request, in milliseconds. */
  deadlineMs: number | undefined;
  /** Id of the upstream to which the request is sent. */
  upstreamId: string;
  organisation: string | undefined;
  /** Rank in the upstream's queue; 0 is first. */
  urgency: number | undefined;
  /** Id of the last event that was forwarded; the response continues after it. */
  resumeAfterId: number | undefined;
  /** Address of an engine from which to copy cached parts of the prompt. */
  copyFrom: string | undefined;
}

/** Metadata of a response, as the upstream's headers state it. */
export interface ResponseMetadata {
  requestId: string | undefined;
  /** Whether the upstream states that it did not run the request. */
  hasNotRun: boolean;
  /** Whether the upstream states that it is leaving. */
  isLeaving: boolean;
  /**
   * Time for which the upstream wants no further request from this gateway, in
   * milliseconds; undefined if it states none.
   */
  retryAfterMs: number | undefined;
  /**
   * Requests a second that the upstream takes from all gateways together; undefined
   * if it states no limit.
   */
  limitPerS: number | undefined;
  /**
   * Time for which the upstream is still cold, in milliseconds; undefined if it does
   * not state it.
   */
  coldMs: number | undefined;
}

/** Reads and writes the headers that carry metadata of requests and responses. */
export interface HeaderCodec {
  readRequest(headers: ParsedHeaders): RequestMetadata;
  /** Returns the headers to send to an upstream, as a flat list of names and values. */
  upstreamHeaders(
    rawHeaders: readonly string[],
    metadata: UpstreamRequestMetadata,
  ): string[];
  readResponse(headers: ParsedHeaders): ResponseMetadata;
  /** Returns the headers of an upstream's response that are forwarded to the caller. */
  callerHeaders(headers: ParsedHeaders): Record<string, string | string[]>;
  /** Returns the headers of a refusal, which the gateway writes itself. */
  refusalHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): Record<string, string>;
}
