import type {UpstreamRequest} from '@sardinestile/adapters';
import type {AttemptRequest} from '@sardinestile/scheduler';
import type {AgentBody, Commit, Reserve, Session} from '@sardinestile/session';
import type {AttemptRun} from './attempt_run.js';

/** Difference of the engine's priority values between two tiers. */
const PRIORITY_PER_TIER = 10;

/** A session to an entry, as the agent's side sees it. */
export type AgentSession = Session<AgentBody>;

/** An entry's attempt to run a request at this agent's upstream. */
export interface Attempt {
  reserve: Reserve;
  session: AgentSession;
  stage: 'waiting' | 'offered' | 'running' | 'preempted';
  /** True only while the reservation itself is handled synchronously. */
  isBeingReserved: boolean;
  offerTimer?: NodeJS.Timeout;
  commit?: Commit;
  run?: AttemptRun;
  /** Whether the run is being stopped in favour of a higher tier. */
  isBeingPreempted: boolean;
  sentChunks: number;
  /**
   * Text sent so far, after which a preempted run resumes; kept only for
   * preemptible attempts.
   */
  sentText: string;
  sentTokens: number;
  startedAtMs: number;
  /** Time of the last token of this run; 0 before its first. */
  lastTokenAtMs: number;
}

/** Creates an attempt for a reservation that has just arrived. */
export function createAttempt(
  session: AgentSession,
  reserve: Reserve,
): Attempt {
  return {
    session,
    reserve,
    stage: 'waiting',
    isBeingReserved: true,
    isBeingPreempted: false,
    sentChunks: 0,
    sentText: '',
    sentTokens: 0,
    startedAtMs: 0,
    lastTokenAtMs: 0,
  };
}

/**
 * Creates the scheduler's request. The entry counts the time from the arrival of the
 * request; entries of earlier versions name no time for the answer, and that of the
 * class applies.
 */
export function toAttemptRequest(reserve: Reserve): AttemptRequest {
  const {attemptId, requestClass, organisation, promptTokens} = reserve;
  // The first token of a resumed response was delivered.
  const waitBudgetMs = reserve.resumed
    ? Infinity
    : reserve.waitBudgetMs || undefined;
  return {
    attemptId,
    requestClass,
    organisation,
    promptTokens,
    isPreemptible: reserve.preemptible,
    waitBudgetMs,
    answerBudgetMs: reserve.answerBudgetMs || undefined,
  };
}

/**
 * Creates the upstream's request; it continues after the text that was already
 * sent.
 */
export function toUpstreamRequest(
  attempt: Attempt,
  tier: number,
): UpstreamRequest {
  const commit = attempt.commit!;
  return {
    method: commit.method,
    path: commit.path,
    headers: commit.headers,
    body: commit.body,
    priority: tier * PRIORITY_PER_TIER,
    resumeText: attempt.sentText,
    resumeTokens: attempt.sentTokens,
  };
}
