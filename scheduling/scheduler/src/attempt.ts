import type {AttemptRequest} from './scheduler_types.js';

/** Stage of a request at the upstream. */
export type AttemptStage = 'queued' | 'running' | 'ended';

/** One attempt to run a request at the upstream, from its arrival to its end. */
export interface Attempt {
  request: AttemptRequest;
  stage: AttemptStage;
  /**
   * Number of attempts that the upstream had started when this one arrived or
   * was requeued.
   */
  arrivalSequence: number;
  queuedAtMs: number;
  /** Wait that was predicted when it was queued. */
  predictedWaitMs: number;
  startedAtMs: number;
  /** Time to the first token that was predicted at the start, for a long prompt. */
  predictedPrefillMs: number;
  /** Latest start that still meets the targets; Infinity without a target. */
  latestStartMs: number;
  /** When the first token is due; Infinity without a target. */
  firstTokenDueMs: number;
  /** When the complete response is due; Infinity without a target. */
  answerDueMs: number;
  /** Whether it was queued again after a preemption. */
  wasPreempted: boolean;
  /** Whether it was ordered to stop and is still running. */
  isStopping: boolean;
  /** Whether it was refused and is still running. */
  isRefused: boolean;
  hasFirstToken: boolean;
  /** Time of the last token since the start; undefined before the first one. */
  lastTokenAtMs: number | undefined;
  servedTokens: number;
}
