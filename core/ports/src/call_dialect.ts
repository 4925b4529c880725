/** A part of a prompt, shared with other requests or their own. */
export interface PromptPart {
  /** The same for the same text before the same model. */
  id: string;
  tokens: number;
}

/** Headers as Node.js parses them; names are lower-case. */
export type ParsedHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** What a caller says of its request. */
export interface RequestFacts {
  requestId: string | undefined;
  /** Time that the caller waits from when it sent the request. */
  deadlineMs: number | undefined;
  key: string | undefined;
  /** Last event that the caller has; a resumed stream goes on after it. */
  lastEventId: number | undefined;
  promptTokens: number;
  /** Parts of the prompt in order; the last one is the request's own. */
  promptParts: PromptPart[];
}

/** What the system tells an upstream beside the caller's own headers. */
export interface SystemFacts {
  /** Time after which the upstream may stop its work. */
  deadlineMs: number | undefined;
  /** Id of the upstream that the request is meant for. */
  upstreamId: string;
  organisation: string | undefined;
  /** Rank in the upstream's queue; 0 is first. */
  urgency: number | undefined;
  /** Last event that was passed on; the answer goes on after it. */
  resumeAfter: number | undefined;
  /** Address of an engine to copy cached parts of the prompt from. */
  fetchFrom: string | undefined;
}

/** What an upstream says of its answer. */
export interface AnswerFacts {
  requestId: string | undefined;
  /** Whether the upstream states that the request has not run. */
  isNotRun: boolean;
}

/** How requests and answers carry what callers, this system and upstreams tell each other. */
export interface CallDialect {
  readRequest(headers: ParsedHeaders): RequestFacts;
  /** The headers to send to an upstream, as a flat list of names and values. */
  upstreamHeaders(rawHeaders: readonly string[], facts: SystemFacts): string[];
  readAnswer(headers: ParsedHeaders): AnswerFacts;
  /** The headers of an upstream's answer that a caller gets. */
  callerHeaders(headers: ParsedHeaders): Record<string, string | string[]>;
  /** Headers of an answer that the system makes itself. */
  refusalHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): Record<string, string>;
}
