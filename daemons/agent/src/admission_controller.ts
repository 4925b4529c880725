import type {UpstreamAdapter} from '@sardinestile/adapters';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import type {ConfigReplica} from '@sardinestile/replica';
import {
  createScheduler,
  type ClassDump,
  type SchedulerCommand,
  type SchedulerCounts,
  type SchedulerEvent,
} from '@sardinestile/scheduler';
import {
  RunOutcome,
  type Commit,
  type Credit,
  type Reserve,
} from '@sardinestile/session';
import {
  createAttempt,
  toAttemptRequest,
  toUpstreamRequest,
  type AgentSession,
  type Attempt,
} from './attempt.js';
import {
  startAttemptRun,
  type AttemptRun,
  type AttemptRunResult,
} from './attempt_run.js';
import {capacityPolicyOf} from './capacity_policy.js';
import type {UpstreamMonitor} from './upstream_monitor.js';

/** Time for which an offered slot is reserved until the entry commits. */
const OFFER_TIMEOUT_MS = 1_000;

/**
 * Retry delay sent with refusals made before a request is queued, for example
 * because the upstream is down. By then its health has been probed again.
 */
const REFUSAL_RETRY_AFTER_MS = 1_000;

const WIRE_OUTCOMES = {
  not_run: RunOutcome.NOT_RUN,
  unknown_outcome: RunOutcome.UNKNOWN,
  partial: RunOutcome.PARTIAL,
} as const;

/** Options for createAdmissionController. */
export interface AdmissionControllerOptions {
  service: string;
  upstreamId: string;
  upstream: UpstreamAdapter;
  monitor: UpstreamMonitor;
  replica: ConfigReplica;
  logger: Logger;
  metrics: MetricsRegistry;
}

/**
 * Admits attempts to the upstream's slots in the scheduler's order, and runs
 * them there.
 */
export interface AdmissionController {
  /** Queues an attempt until a slot is free, or refuses it. */
  reserve(session: AgentSession, reserve: Reserve): void;
  /**
   * Drops a reservation; a committed attempt that isn't preemptible continues.
   */
  withdraw(attemptId: string): void;
  /** Starts an attempt that was offered a slot. */
  commit(session: AgentSession, commit: Commit): void;
  grantCredit(credit: Credit): void;
  /** Ends an attempt, also while it runs. */
  cancel(attemptId: string): void;
  /**
   * Ends the attempts of a closed session; committed ones that aren't
   * preemptible continue.
   */
  closeSession(session: AgentSession): void;
  /**
   * Applies a new configuration: revoked keys, scheduling policy and drains.
   */
  applyConfig(): void;
  /** Refuses new attempts; resolves when all attempts have ended. */
  drain(): Promise<void>;
  readonly isDraining: boolean;
  counts(): SchedulerCounts;
  dump(): ClassDump[];
}

/** Creates the admission controller of one upstream, with no attempts. */
export function createAdmissionController(
  options: AdmissionControllerOptions,
): AdmissionController {
  const {replica, monitor, metrics, logger} = options;
  const attempts = new Map<string, Attempt>();
  const labels = {service: options.service};
  let deadlineTimer: NodeJS.Timeout | undefined;
  let isShuttingDown = false;
  let onDrained: (() => void) | undefined;

  const isDraining = () =>
    isShuttingDown || replica.isDraining(options.upstreamId);
  const services = () => replica.serviceText;
  const policy = () => capacityPolicyOf(services(), options.service);
  const scheduler = createScheduler({
    ...policy(),
    weightOf: organisation =>
      services()?.organisations.find(o => o.name === organisation)?.weight ?? 1,
  });

  const notify = (event: SchedulerEvent) => {
    const commands = scheduler.handle(event, performance.now());
    commands.forEach(command => handleCommand(command));
    scheduleDeadline();
    if (attempts.size === 0) onDrained?.();
  };
  const scheduleDeadline = () => {
    clearTimeout(deadlineTimer);
    // The scheduler drops the deadlines of attempts that have ended only when due.
    if (attempts.size === 0) return;
    const deadlineMs = scheduler.nextWakeUpMs();
    if (deadlineMs === undefined) return;
    const delayMs = Math.max(0, deadlineMs - performance.now());
    deadlineTimer = setTimeout(() => notify({kind: 'timePassed'}), delayMs + 1);
  };
  const handleCommand = (command: SchedulerCommand) => {
    const attempt = attempts.get(command.attemptId);
    if (attempt) commandHandlers[command.kind](attempt, command as never);
  };
  const commandHandlers: {
    [K in SchedulerCommand['kind']]: (
      attempt: Attempt,
      command: Extract<SchedulerCommand, {kind: K}>,
    ) => void;
  } = {
    offer: attempt =>
      attempt.stage === 'preempted' ? startRun(attempt) : offer(attempt),
    refuse: (attempt, command) => {
      if (attempt.run) return failRunningAttempt(attempt, command.code);
      remove(attempt);
      metrics.increment('sardinestile_agent_refused_total', {
        ...labels,
        code: command.code,
      });
      if (attempt.stage === 'preempted') {
        return sendFailed(attempt, RunOutcome.PARTIAL, command.code, '');
      }
      sendRefusal(attempt, command.code, command.retryAfterMs);
    },
    preempt: attempt => {
      const {attemptId, requestId, organisation} = attempt.reserve;
      logger.info('request_preempted', {requestId, attemptId, organisation});
      metrics.increment('sardinestile_agent_preempted_total', labels);
      attempt.isBeingPreempted = true;
      if (attempt.run) attempt.run.abort();
      else requeue(attempt);
    },
  };

  const failRunningAttempt = (attempt: Attempt, code: string) => {
    sendFailed(attempt, RunOutcome.PARTIAL, code, '');
    endAttempt(attempt, 'finished');
  };
  const offer = (attempt: Attempt) => {
    const {attemptId, commit} = attempt.reserve;
    if (commit && attempt.isBeingReserved) {
      const value = {attemptId, started: true};
      attempt.session.send({case: 'offer', value});
      return startCommitted(attempt, commit);
    }
    attempt.stage = 'offered';
    attempt.offerTimer = setTimeout(() => {
      remove(attempt);
      notify({kind: 'withdrawn', attemptId});
    }, OFFER_TIMEOUT_MS);
    attempt.session.send({case: 'offer', value: {attemptId}});
  };
  const startCommitted = (attempt: Attempt, commit: Commit) => {
    attempt.commit = commit;
    attempt.sentText = commit.resumeText;
    attempt.sentTokens = commit.resumeTokens;
    startRun(attempt);
  };
  const remove = (attempt: Attempt) => {
    clearTimeout(attempt.offerTimer);
    attempts.delete(attempt.reserve.attemptId);
  };
  const requeue = (attempt: Attempt) => {
    attempt.stage = 'preempted';
    attempt.isBeingPreempted = false;
    attempt.run = undefined;
    notify({kind: 'requeued', attemptId: attempt.reserve.attemptId});
  };
  const sendRefusal = (
    {session, reserve}: Pick<Attempt, 'session' | 'reserve'>,
    code: string,
    retryAfterMs: number,
  ) => {
    const {attemptId} = reserve;
    session.send({case: 'refuse', value: {attemptId, code, retryAfterMs}});
  };
  const sendFailed = (
    attempt: Attempt,
    outcome: RunOutcome,
    code: string,
    detail: string,
  ) => {
    const {attemptId} = attempt.reserve;
    const chunks = attempt.sentChunks;
    const value = {attemptId, outcome, code, chunks, detail};
    attempt.session.send({case: 'failed', value});
  };

  const startRun = (attempt: Attempt) => {
    const {attemptId} = attempt.reserve;
    attempt.stage = 'running';
    attempt.startedAtMs = performance.now();
    attempt.lastTokenAtMs = 0;
    const run = startAttemptRun({
      upstream: options.upstream,
      request: toUpstreamRequest(attempt, tierOf(attempt)),
      creditBytes: attempt.commit!.creditBytes,
      sink: {
        onHead: ({status, headers}) => {
          const value = {attemptId, status, headers};
          attempt.session.send({case: 'head', value});
        },
        onData: event => {
          sendChunk(attempt, event);
          recordTokens(attempt, event.tokens);
        },
      },
    });
    attempt.run = run;
    void run.done.then(result => finishRun(attempt, run, result));
  };
  const tierOf = (attempt: Attempt) =>
    policy().classes.find(c => c.name === attempt.reserve.requestClass)?.tier ??
    0;

  const sendChunk = (
    attempt: Attempt,
    event: {
      data: Uint8Array;
      tokens: number;
      text: string;
      finishReason: string;
    },
  ) => {
    const {attemptId} = attempt.reserve;
    const {data, tokens, text, finishReason} = event;
    const sequence = attempt.sentChunks++;
    if (attempt.reserve.preemptible) attempt.sentText += text;
    attempt.sentTokens += tokens;
    const value = {attemptId, sequence, data, tokens, text, finishReason};
    attempt.session.send({case: 'chunk', value});
  };
  const recordTokens = (attempt: Attempt, tokens: number) => {
    if (tokens === 0) return;
    const {attemptId} = attempt.reserve;
    const nowMs = performance.now();
    if (attempt.lastTokenAtMs === 0) notify({kind: 'firstToken', attemptId});
    else monitor.recordTokenInterval(nowMs - attempt.lastTokenAtMs);
    attempt.lastTokenAtMs = nowMs;
    notify({kind: 'tokensServed', attemptId, tokens});
  };
  const finishRun = (
    attempt: Attempt,
    run: AttemptRun,
    result: AttemptRunResult,
  ) => {
    if (attempt.run !== run) return;
    if (result.kind === 'aborted' && attempt.isBeingPreempted) {
      return requeue(attempt);
    }
    const {attemptId} = attempt.reserve;
    remove(attempt);
    resultHandlers[result.kind](attempt, result as never);
    notify({kind: 'finished', attemptId});
  };
  const resultHandlers: {
    [K in AttemptRunResult['kind']]: (
      attempt: Attempt,
      result: Extract<AttemptRunResult, {kind: K}>,
    ) => void;
  } = {
    finished: (attempt, {promptTokens, outputTokens}) => {
      const {attemptId} = attempt.reserve;
      const chunks = attempt.sentChunks;
      const value = {attemptId, chunks, promptTokens, outputTokens};
      attempt.session.send({case: 'finished', value});
      metrics.recordMs(
        'sardinestile_agent_run_seconds',
        labels,
        performance.now() - attempt.startedAtMs,
      );
    },
    aborted: () => {},
    failed: (attempt, {error}) => {
      const {requestId, attemptId, organisation} = attempt.reserve;
      const outcome = error.outcome ?? 'unknown_outcome';
      const code = error.code ?? 'upstream_failed';
      if (outcome === 'not_run') monitor.recordUnreachable();
      logger.warn('attempt_failed', {
        requestId,
        organisation,
        upstream: options.upstreamId,
        attemptId,
        reason: error.message,
        outcome,
      });
      sendFailed(attempt, WIRE_OUTCOMES[outcome], code, error.message);
    },
  };

  /**
   * Returns the code with which a reservation is refused; undefined if it can
   * be queued.
   */
  const findRefusalCode = (reserve: Reserve): string | undefined => {
    if (isDraining()) return 'shutting_down';
    if (!monitor.isHealthy) return 'no_upstream';
    const isReplicaCurrent = replica.version >= reserve.configVersion;
    const isRevoked = reserve.keyId && !replica.hasKey(reserve.keyId);
    return isReplicaCurrent && isRevoked ? 'invalid_key' : undefined;
  };

  const endAttempt = (attempt: Attempt, kind: 'withdrawn' | 'finished') => {
    remove(attempt);
    attempt.run?.abort();
    notify({kind, attemptId: attempt.reserve.attemptId});
  };

  const controller: AdmissionController = {
    reserve(session, reserve) {
      const refusalCode = findRefusalCode(reserve);
      if (refusalCode) {
        const retryAfterMs = REFUSAL_RETRY_AFTER_MS;
        return sendRefusal({session, reserve}, refusalCode, retryAfterMs);
      }
      const attempt = createAttempt(session, reserve);
      attempts.set(reserve.attemptId, attempt);
      notify({kind: 'arrived', request: toAttemptRequest(reserve)});
      // A commit sent along with the reservation counts only for a slot that is
      // free at once; an offer from the queue needs a separate commit.
      attempt.isBeingReserved = false;
    },
    withdraw(attemptId) {
      const attempt = attempts.get(attemptId);
      if (!attempt) return;
      const mustComplete = attempt.commit && !attempt.reserve.preemptible;
      if (!mustComplete) endAttempt(attempt, 'withdrawn');
    },
    commit(session, commit) {
      const attempt = attempts.get(commit.attemptId);
      if (attempt?.stage !== 'offered') {
        const {attemptId} = commit;
        const outcome = RunOutcome.NOT_RUN;
        const value = {attemptId, outcome, code: 'overloaded', chunks: 0};
        return session.send({case: 'failed', value});
      }
      clearTimeout(attempt.offerTimer);
      startCommitted(attempt, commit);
    },
    grantCredit({attemptId, creditBytes}) {
      attempts.get(attemptId)?.run?.grantCredit(creditBytes);
    },
    cancel(attemptId) {
      const attempt = attempts.get(attemptId);
      if (attempt) endAttempt(attempt, 'finished');
    },
    closeSession(session) {
      for (const attempt of [...attempts.values()]) {
        if (attempt.session !== session) continue;
        const mustEnd = attempt.commit && !attempt.reserve.preemptible;
        if (!mustEnd) endAttempt(attempt, 'finished');
      }
    },
    applyConfig() {
      endAttemptsWithRevokedKeys();
      notify({kind: 'policyChanged', ...policy()});
      if (!isShuttingDown) {
        notify({kind: isDraining() ? 'drainStarted' : 'drainEnded'});
      }
    },
    drain() {
      isShuttingDown = true;
      return new Promise(resolve => {
        onDrained = resolve;
        notify({kind: 'drainStarted'});
      });
    },
    get isDraining() {
      return isDraining();
    },
    counts: () => scheduler.counts(),
    dump: () => scheduler.dump(),
  };

  /** Ends queued and running attempts whose key was revoked. */
  const endAttemptsWithRevokedKeys = () => {
    for (const attempt of [...attempts.values()]) {
      const {keyId, configVersion} = attempt.reserve;
      const isReplicaCurrent = replica.version >= configVersion;
      if (!keyId || !isReplicaCurrent || replica.hasKey(keyId)) continue;
      if (attempt.commit) {
        sendFailed(attempt, RunOutcome.UNKNOWN, 'key_withdrawn', '');
      } else {
        sendRefusal(attempt, 'invalid_key', 0);
      }
      endAttempt(attempt, 'finished');
    }
  };
  return controller;
}
