import type {Tier} from '@sardinestile/types';

/** Tier, minimum share and latency targets of a request class. */
export interface ClassPolicy {
  name: string;
  tier: Tier;
  /** Part of the upstream's slots that the class is guaranteed, 0 to 1. */
  minShare: number;
  /** Target for the time from arrival to the first token; undefined for none. */
  firstTokenMs?: number;
  /** Target for the time from arrival to the complete response; undefined for none. */
  answerMs?: number;
}

/** Options for createScheduler. */
export interface SchedulerOptions {
  classes: readonly ClassPolicy[];
  /** Number of slots: requests that the upstream runs concurrently. */
  capacity: number;
  /**
   * Slots beyond the capacity, for classes below their minimum shares and for
   * overdue attempts.
   */
  overcommitSlots: number;
  /** Returns the weight of an organisation for fair sharing within a class. */
  weightOf: (organisation: string) => number;
}

/** A request that asks for a slot at the upstream. */
export interface AttemptRequest {
  attemptId: string;
  requestClass: string;
  organisation: string;
  promptTokens: number;
  /**
   * Time left until the first token is due, Infinity if none is; overrides the class's
   * `firstTokenMs`.
   */
  waitBudgetMs?: number;
  /**
   * Time left until the complete response is due, Infinity if it is not; overrides the
   * class's `answerMs`.
   */
  answerBudgetMs?: number;
  /** Whether the upstream can stop this request and resume it later. */
  isPreemptible: boolean;
}

/** Events that a scheduler handles. */
export type SchedulerEvent =
  | {kind: 'arrived'; request: AttemptRequest}
  /** The caller cancelled the attempt, while it waited or ran. */
  | {kind: 'withdrawn'; attemptId: string}
  /** The upstream sent the first token. */
  | {kind: 'firstToken'; attemptId: string}
  | {kind: 'tokensServed'; attemptId: string; tokens: number}
  /** A running attempt ended; its slot is free. */
  | {kind: 'finished'; attemptId: string}
  /** A preempted attempt has stopped and waits to be resumed. */
  | {kind: 'requeued'; attemptId: string}
  /** The operators changed the request classes or the capacity. */
  | {
      kind: 'policyChanged';
      classes: readonly ClassPolicy[];
      capacity: number;
      overcommitSlots: number;
    }
  | {kind: 'drainStarted'}
  | {kind: 'drainEnded'}
  | {kind: 'timePassed'};

/** Reason for which a request was refused. */
export type SchedulerRefusal = 'overloaded' | 'shutting_down' | 'preempted';

/** Commands that the caller of a scheduler has to carry out. */
export type SchedulerCommand =
  | {kind: 'offer'; attemptId: string}
  | {
      kind: 'refuse';
      attemptId: string;
      code: SchedulerRefusal;
      retryAfterMs: number;
    }
  | {kind: 'preempt'; attemptId: string};

/** Numbers of running and waiting requests, for load reports and state dumps. */
export interface SchedulerCounts {
  running: number;
  waiting: number;
  capacity: number;
}

/** Assigns the slots of one upstream to requests. */
export interface Scheduler {
  /** Handles an event and returns the resulting commands. */
  handle(event: SchedulerEvent, nowMs: number): SchedulerCommand[];
  counts(): SchedulerCounts;
  /** Time of the next `timePassed` event that is needed; undefined for none. */
  nextWakeUpMs(): number | undefined;
  /** Returns the state of all classes, for a state dump. */
  dump(): ClassDump[];
}

/** State of one class, for a state dump. */
export interface ClassDump {
  requestClass: string;
  tier: Tier;
  running: number;
  waiting: number;
  owedPlaceMs: number;
  organisations: Array<{
    organisation: string;
    waiting: number;
    servedTokens: number;
  }>;
}
