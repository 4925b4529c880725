import type {RunOutcome} from '@sardinestile/types';
import type {
  Dispatch,
  DispatchChunk,
  DispatchCommand,
  DispatchEvent,
  DispatchOptions,
  ResumePoint,
} from './dispatch_types.js';

/**
 * Maximum number of reservations that one request has open at the same time.
 */
const MAX_OPEN_RESERVATIONS = 2;

/**
 * Maximum number of upstreams that are asked for a reservation until one of
 * them offers a slot. The count starts again after a committed attempt fails.
 */
const MAX_RESERVATIONS = 4;

/** Maximum number of attempts of one request that are committed. */
const MAX_COMMITS = 3;

/**
 * Retry delay sent to the caller if no upstream could be asked, or none offered
 * a slot in time: the shortest that `Retry-After` can say.
 */
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

/**
 * Refusal codes that every upstream would return, so that a retry is useless.
 */
const FINAL_REFUSALS: ReadonlySet<string> = new Set([
  'invalid_key',
  'invalid_request',
]);

interface Attempt {
  attemptId: string;
  upstreamId: string;
  stage: 'reserved' | 'committed' | 'ended';
  /** Whether the upstream may have started it before the commit. */
  mayHaveStarted: boolean;
  receivedChunks: number;
}

interface Refusal {
  code: string;
  retryAfterMs: number;
}

type EventKind = DispatchEvent['kind'];
type EventHandlers = {
  [K in EventKind]: (event: Extract<DispatchEvent, {kind: K}>) => void;
};

/**
 * Creates the state machine that dispatches one request.
 *
 * A request reserves a slot at an upstream, and when the upstream offers one,
 * the attempt is committed and starts to run. If no offer arrives in time, a
 * second upstream is asked too (a hedge). Without `canStartBeforeCommit`, no attempt
 * runs before it is committed. At most one attempt is committed at a time. A
 * request that is not idempotent is committed again only after the upstream of
 * the earlier attempt reported that it did not run.
 */
export function createDispatch(options: DispatchOptions): Dispatch {
  const attempts = new Map<string, Attempt>();
  const triedUpstreamIds = new Set<string>();
  let committed: Attempt | undefined;
  let commitCount = 0;
  /** Attempts that may have run: no upstream reported that they did not. */
  let possibleRuns = 0;
  let reservationCount = 0;
  let deliveredChunks = 0;
  let deliveredTokens = 0;
  let deliveredText = '';
  let lastRefusal: Refusal | undefined;
  let isEnded = false;
  let nowMs = 0;
  let hedgeAtMs: number | undefined;
  let offerDeadlineMs: number | undefined;
  let commands: DispatchCommand[] = [];

  const openReservations = () =>
    [...attempts.values()].filter(attempt => attempt.stage === 'reserved');

  const endRequest = (command: DispatchCommand) => {
    isEnded = true;
    withdrawReservationsExcept(undefined);
    hedgeAtMs = offerDeadlineMs = undefined;
    commands.push(command);
  };

  const fail = (code: string, outcome: RunOutcome, retryAfterMs?: number) =>
    endRequest({kind: 'fail', code, outcome, retryAfterMs});

  /** Outcome to report if the request ends while no attempt is committed. */
  const outcomeWithoutAttempt = (): RunOutcome => {
    if (deliveredChunks > 0) return 'partial';
    return possibleRuns > 0 ? 'unknown_outcome' : 'not_run';
  };

  const resumePoint = (): ResumePoint => ({
    text: deliveredText,
    tokens: deliveredTokens,
  });

  const withdrawReservationsExcept = (excluded: Attempt | undefined) => {
    for (const attempt of openReservations()) {
      if (attempt === excluded) continue;
      attempt.stage = 'ended';
      const {attemptId, upstreamId} = attempt;
      commands.push({kind: 'withdraw', attemptId, upstreamId});
    }
  };

  const cancelCommitted = () => {
    if (!committed) return;
    const {attemptId, upstreamId} = committed;
    committed.stage = 'ended';
    committed = undefined;
    commands.push({kind: 'cancel', attemptId, upstreamId});
  };

  /**
   * Reserves a slot at the next upstream. Returns false if there is no other
   * upstream or the limit of reservations is reached.
   */
  const reserveNext = (): boolean => {
    if (reservationCount >= MAX_RESERVATIONS) return false;
    const [upstreamId] = options.rankUpstreams(triedUpstreamIds);
    if (upstreamId === undefined) return false;
    const attemptId = options.createAttemptId();
    const mayHaveStarted =
      options.canStartBeforeCommit && openReservations().length === 0;
    reservationCount++;
    triedUpstreamIds.add(upstreamId);
    attempts.set(attemptId, {
      attemptId,
      upstreamId,
      stage: 'reserved',
      mayHaveStarted,
      receivedChunks: 0,
    });
    if (mayHaveStarted) possibleRuns++;
    commands.push({
      kind: 'reserve',
      attemptId,
      upstreamId,
      isResumed: deliveredChunks > 0,
      resume: mayHaveStarted ? resumePoint() : undefined,
    });
    hedgeAtMs = nowMs + options.hedgeDelayMs;
    offerDeadlineMs ??= nowMs + options.offerTimeoutMs(deliveredChunks > 0);
    return true;
  };

  const reserveOrFail = () => {
    if (openReservations().length > 0 || reserveNext()) return;
    const refusal = lastRefusal ?? {
      code: 'no_upstream',
      retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS,
    };
    fail(refusal.code, outcomeWithoutAttempt(), refusal.retryAfterMs);
  };

  /**
   * Makes new reservations after a committed attempt ended without a complete
   * response. Fails the request if it may not be retried or resumed.
   */
  const retryOrFail = (code: string, outcome: RunOutcome) => {
    if (outcome === 'not_run') possibleRuns--;
    const mayHaveRun = outcome !== 'not_run';
    const cannotResume = deliveredChunks > 0 && !options.isResumable;
    const cannotRepeat = mayHaveRun && !options.isIdempotent;
    if (cannotRepeat || cannotResume || commitCount >= MAX_COMMITS) {
      return fail(code, outcomeWithoutAttempt());
    }
    if (!options.tryTakeRetry()) return fail(code, outcomeWithoutAttempt());
    reservationCount = 0;
    offerDeadlineMs = undefined;
    lastRefusal = undefined;
    reserveOrFail();
  };

  const deliver = (attempt: Attempt, chunk: DispatchChunk) => {
    attempt.receivedChunks++;
    deliveredChunks++;
    deliveredTokens += chunk.tokens;
    if (options.isResumable) deliveredText += chunk.text;
    commands.push({kind: 'deliver', chunk, upstreamId: attempt.upstreamId});
  };

  /**
   * Returns the attempt only if it is the committed one. Messages that arrive
   * late for other attempts are ignored.
   */
  const findCommitted = (attemptId: string) =>
    committed?.attemptId === attemptId ? committed : undefined;

  /** Ends the committed attempt without a complete response, then retries. */
  const endCommittedAttempt = (code: string, outcome: RunOutcome) => {
    committed!.stage = 'ended';
    committed = undefined;
    retryOrFail(code, outcome);
  };

  const handlers: EventHandlers = {
    started: () => reserveOrFail(),
    offered: ({attemptId, hasStarted}) => {
      const attempt = attempts.get(attemptId);
      if (attempt?.stage !== 'reserved') return;
      attempt.stage = 'committed';
      committed = attempt;
      commitCount++;
      if (!attempt.mayHaveStarted) possibleRuns++;
      hedgeAtMs = offerDeadlineMs = undefined;
      withdrawReservationsExcept(attempt);
      if (hasStarted) return;
      const {upstreamId} = attempt;
      const resume = resumePoint();
      commands.push({kind: 'commit', attemptId, upstreamId, resume});
    },
    refused: ({attemptId, code, retryAfterMs}) => {
      const attempt = attempts.get(attemptId);
      if (attempt?.stage !== 'reserved') return;
      attempt.stage = 'ended';
      if (attempt.mayHaveStarted) possibleRuns--;
      if (FINAL_REFUSALS.has(code)) return fail(code, outcomeWithoutAttempt());
      const earlier = lastRefusal?.retryAfterMs ?? Infinity;
      lastRefusal = {code, retryAfterMs: Math.min(earlier, retryAfterMs)};
      reserveOrFail();
    },
    headReceived: ({attemptId}) => {
      if (!findCommitted(attemptId) || deliveredChunks > 0) return;
      commands.push({kind: 'deliverHead', attemptId});
    },
    chunkReceived: ({attemptId, chunk}) => {
      const attempt = findCommitted(attemptId);
      if (!attempt || chunk.sequence < attempt.receivedChunks) return;
      if (chunk.sequence === attempt.receivedChunks) {
        return deliver(attempt, chunk);
      }
      cancelCommitted();
      retryOrFail('upstream_failed', 'unknown_outcome');
    },
    finished: event => {
      const attempt = findCommitted(event.attemptId);
      if (!attempt) return;
      if (event.chunks !== attempt.receivedChunks) {
        return endCommittedAttempt('upstream_failed', 'unknown_outcome');
      }
      attempt.stage = 'ended';
      committed = undefined;
      const {promptTokens} = event;
      const outputTokens = deliveredTokens || event.outputTokens;
      endRequest({kind: 'complete', promptTokens, outputTokens});
    },
    failed: ({attemptId, code, outcome}) => {
      if (!findCommitted(attemptId)) return;
      if (FINAL_REFUSALS.has(code) || code === 'key_withdrawn') {
        committed = undefined;
        if (outcome === 'not_run') possibleRuns--;
        return fail(code, outcomeWithoutAttempt());
      }
      endCommittedAttempt(code, outcome);
    },
    sessionLost: ({upstreamId}) => {
      for (const attempt of openReservations()) {
        if (attempt.upstreamId === upstreamId) attempt.stage = 'ended';
      }
      if (committed?.upstreamId === upstreamId) {
        return endCommittedAttempt('upstream_failed', 'unknown_outcome');
      }
      if (!committed) reserveOrFail();
    },
    callerDisconnected: () => abort('upstream_failed'),
    keyRevoked: () => abort('key_withdrawn'),
    timePassed: () => {
      if (offerDeadlineMs !== undefined && nowMs >= offerDeadlineMs) {
        const retryAfterMs = NO_UPSTREAM_RETRY_AFTER_MS;
        return fail('overloaded', outcomeWithoutAttempt(), retryAfterMs);
      }
      if (hedgeAtMs === undefined || nowMs < hedgeAtMs) return;
      hedgeAtMs = undefined;
      if (openReservations().length < MAX_OPEN_RESERVATIONS) reserveNext();
    },
  };

  const abort = (code: string) => {
    cancelCommitted();
    fail(code, outcomeWithoutAttempt());
  };

  return {
    handle(event, atMs) {
      commands = [];
      if (isEnded) return commands;
      nowMs = atMs;
      (handlers[event.kind] as (event: DispatchEvent) => void)(event);
      return commands;
    },
    get isEnded() {
      return isEnded;
    },
    nextDeadlineMs: () =>
      hedgeAtMs === undefined
        ? offerDeadlineMs
        : Math.min(hedgeAtMs, offerDeadlineMs ?? Infinity),
    dump: () => ({
      requestId: options.requestId,
      committedUpstream: committed?.upstreamId,
      openReservations: openReservations().length,
      attempts: attempts.size,
      deliveredChunks,
    }),
  };
}
