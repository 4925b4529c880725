import {randomUUID} from 'node:crypto';
import {
  createDispatch,
  rankUpstreams,
  type DispatchChunk,
  type DispatchCommand,
  type DispatchDump,
  type DispatchEvent,
  type ResumePoint,
  type EntryRetryBudget,
} from '@sardinestile/placement';
import {RunOutcome as WireOutcome, type Commit} from '@sardinestile/session';
import type {RandomSource, RunOutcome} from '@sardinestile/types';
import type {ClassifiedRequest} from './classify_request.js';
import type {HeaderPair} from './forwarded_headers.js';
import {createRequestClock} from './request_clock.js';
import type {AttemptMessage, SessionPool} from './session_pool.js';

/** Time without an offer until a second upstream is asked too; covers a round trip between zones. */
const HEDGE_DELAY_MS = 100;

/**
 * Flow-control window: response bytes that an agent may send before the caller
 * consumes them.
 */
const INITIAL_CREDIT_BYTES = 131_072;

/** Consumed bytes that are collected before the agent is granted new credit. */
const CREDIT_STEP_BYTES = 16_384;

const RUN_OUTCOMES: Readonly<Record<WireOutcome, RunOutcome>> = {
  [WireOutcome.UNSPECIFIED]: 'unknown_outcome',
  [WireOutcome.UNKNOWN]: 'unknown_outcome',
  [WireOutcome.NOT_RUN]: 'not_run',
  [WireOutcome.PARTIAL]: 'partial',
};

/** Why a request ended without a complete response. */
export interface RequestFailure {
  code: string;
  outcome: RunOutcome;
  retryAfterMs?: number;
}

/** Receives the response to one request. */
export interface ResponseListener {
  onHead(status: number, headers: HeaderPair[]): void;
  onChunk(chunk: DispatchChunk): void;
  onComplete(promptTokens: number, outputTokens: number): void;
  onFail(failure: RequestFailure): void;
}

/** The HTTP request that is sent to an upstream. */
export interface ForwardedRequest {
  method: string;
  path: string;
  headers: HeaderPair[];
  body: Uint8Array;
}

/** Options for startRequestTask. */
export interface RequestTaskOptions {
  requestId: string;
  organisation: string;
  keyId: string;
  request: ClassifiedRequest;
  forwarded: ForwardedRequest;
  availabilityZone: string;
  configVersion: number;
  /** Time of `performance.now` at which the request arrived. */
  arrivedAtMs: number;
  pool: SessionPool;
  retryBudget: EntryRetryBudget;
  random: RandomSource;
  listener: ResponseListener;
}

/** A request that is being served, with its attempts at upstreams. */
export interface RequestTask {
  /**
   * Records that the caller consumed bytes of the response, and grants the
   * agent credit for them.
   */
  recordConsumed(bytes: number): void;
  /**
   * Ends the request because the caller has disconnected or cannot take the
   * whole response.
   */
  cancel(): void;
  /** Ends the request because the caller's key was revoked. */
  handleKeyRevocation(): void;
  dump(): DispatchDump;
  /** Number of attempts so far. */
  readonly attempts: number;
}

/**
 * Starts serving a request: reserves a slot at an upstream, commits the
 * request there and passes the response to the listener.
 */
export function startRequestTask(options: RequestTaskOptions): RequestTask {
  const {pool, request, listener} = options;
  const clock = createRequestClock(
    request.requestClass.targets,
    options.arrivedAtMs,
    () => performance.now(),
  );
  const responseHeads = new Map<
    string,
    {status: number; headers: HeaderPair[]}
  >();
  const attemptIds = new Set<string>();
  let timer: NodeJS.Timeout | undefined;
  let timerDeadlineMs: number | undefined;
  let committedAttempt: {attemptId: string; upstreamId: string} | undefined;
  let ungrantedBytes = 0;

  const dispatch = createDispatch({
    requestId: options.requestId,
    isIdempotent: request.isIdempotent,
    isResumable: request.engine !== undefined,
    canStartBeforeCommit: request.engine !== undefined,
    hedgeDelayMs: HEDGE_DELAY_MS,
    offerTimeoutMs: clock.offerTimeoutMs,
    createAttemptId: () => randomUUID(),
    tryTakeRetry: () => options.retryBudget.tryTakeRetry(),
    rankUpstreams: excluded =>
      rankUpstreams({
        views: pool
          .viewsOf(request.requestClass.service)
          .filter(view => !excluded.has(view.id)),
        availabilityZone: options.availabilityZone,
        prefixKey: request.prefixKey,
        random: options.random,
      }),
  });

  const notify = (event: DispatchEvent) => {
    dispatch.handle(event, performance.now()).forEach(handleCommand);
    updateTimer();
  };
  const updateTimer = () => {
    const deadlineMs = dispatch.nextDeadlineMs();
    if (deadlineMs === timerDeadlineMs) return;
    clearTimeout(timer);
    timerDeadlineMs = deadlineMs;
    if (deadlineMs === undefined || dispatch.isEnded) return;
    const delayMs = Math.max(0, deadlineMs - performance.now()) + 1;
    timer = setTimeout(() => {
      timerDeadlineMs = undefined; // It may fire early and has to be set again.
      notify({kind: 'timePassed'});
    }, delayMs);
  };
  const handleCommand = (command: DispatchCommand) =>
    commandHandlers[command.kind](command as never);
  const commandHandlers: CommandHandlers = {
    reserve: ({attemptId, upstreamId, isResumed, resume}) => {
      attemptIds.add(attemptId);
      pool.addAttemptListener(attemptId, upstreamId, {
        onMessage: body => handleMessage(upstreamId, body),
        onSessionLost: lostId =>
          notify({kind: 'sessionLost', upstreamId: lostId}),
      });
      pool.send(upstreamId, {
        case: 'reserve',
        value: {
          attemptId,
          requestId: options.requestId,
          service: request.requestClass.service,
          requestClass: request.requestClass.name,
          organisation: options.organisation,
          keyId: options.keyId,
          configVersion: options.configVersion,
          waitBudgetMs: clock.firstTokenLeftMs(isResumed) ?? 0,
          answerBudgetMs: clock.answerLeftMs() ?? 0,
          promptTokens: request.promptTokens,
          preemptible: request.engine !== undefined,
          resumed: isResumed,
          commit: resume && toCommit(attemptId, resume),
        },
      });
    },
    withdraw: ({attemptId, upstreamId}) => {
      pool.send(upstreamId, {case: 'withdraw', value: {attemptId}});
      pool.removeAttemptListener(attemptId);
    },
    commit: ({attemptId, upstreamId, resume}) => {
      committedAttempt = {attemptId, upstreamId};
      pool.send(upstreamId, {
        case: 'commit',
        value: toCommit(attemptId, resume),
      });
    },
    cancel: ({attemptId, upstreamId}) => {
      pool.send(upstreamId, {case: 'cancel', value: {attemptId}});
      pool.removeAttemptListener(attemptId);
    },
    deliverHead: ({attemptId}) => {
      const head = responseHeads.get(attemptId);
      if (head) listener.onHead(head.status, head.headers);
    },
    deliver: ({chunk}) => listener.onChunk(chunk),
    complete: ({promptTokens, outputTokens}) => {
      if (committedAttempt) pool.recordSuccess(committedAttempt.upstreamId);
      cleanUp();
      listener.onComplete(promptTokens, outputTokens);
    },
    fail: ({code, outcome, retryAfterMs}) => {
      cleanUp();
      listener.onFail({code, outcome, retryAfterMs});
    },
  };
  const cleanUp = () => {
    clearTimeout(timer);
    attemptIds.forEach(attemptId => pool.removeAttemptListener(attemptId));
  };
  const toCommit = (
    attemptId: string,
    resume: ResumePoint,
  ): Omit<Commit, '$typeName' | '$unknown'> => {
    const {method, path, headers, body} = options.forwarded;
    return {
      attemptId,
      method,
      path,
      headers: headers as Commit['headers'],
      body,
      stream: true,
      plain: request.engine === undefined,
      creditBytes: INITIAL_CREDIT_BYTES,
      resumeText: resume.text,
      resumeTokens: resume.tokens,
    };
  };

  const handleMessage = (upstreamId: string, body: AttemptMessage) =>
    messageHandlers[body.case](body.value as never, upstreamId);
  const messageHandlers: MessageHandlers = {
    offer: ({attemptId, started}, upstreamId) => {
      if (started) committedAttempt = {attemptId, upstreamId};
      notify({kind: 'offered', attemptId, hasStarted: started});
    },
    refuse: ({attemptId, code, retryAfterMs}) =>
      notify({kind: 'refused', attemptId, code, retryAfterMs}),
    head: ({attemptId, status, headers}) => {
      responseHeads.set(attemptId, {status, headers});
      notify({kind: 'headReceived', attemptId});
    },
    chunk: chunk =>
      notify({kind: 'chunkReceived', attemptId: chunk.attemptId, chunk}),
    finished: ({attemptId, chunks, promptTokens, outputTokens}) =>
      notify({
        kind: 'finished',
        attemptId,
        chunks,
        promptTokens,
        outputTokens,
      }),
    failed: ({attemptId, code, outcome}, upstreamId) => {
      if (code === 'upstream_failed') pool.recordFailure(upstreamId);
      notify({
        kind: 'failed',
        attemptId,
        code,
        outcome: RUN_OUTCOMES[outcome],
      });
    },
  };

  options.retryBudget.recordRequest();
  notify({kind: 'started'});
  return {
    recordConsumed(bytes) {
      ungrantedBytes += bytes;
      if (ungrantedBytes < CREDIT_STEP_BYTES || !committedAttempt) return;
      const {attemptId, upstreamId} = committedAttempt;
      const value = {attemptId, creditBytes: ungrantedBytes};
      ungrantedBytes = 0;
      pool.send(upstreamId, {case: 'credit', value});
    },
    cancel: () => notify({kind: 'callerDisconnected'}),
    handleKeyRevocation: () => notify({kind: 'keyRevoked'}),
    dump: () => dispatch.dump(),
    get attempts() {
      return attemptIds.size;
    },
  };
}

type CommandHandlers = {
  [K in DispatchCommand['kind']]: (
    command: Extract<DispatchCommand, {kind: K}>,
  ) => void;
};

type MessageHandlers = {
  [K in AttemptMessage['case']]: (
    value: Extract<AttemptMessage, {case: K}>['value'],
    upstreamId: string,
  ) => void;
};
