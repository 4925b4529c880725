import type {TableService} from '@sardinestile/ports';
import {createPlatformState, type PlatformState} from '@sardinestile/stand_ins';

/** Faults that can be injected into a call to the platform. */
export const FAULT_KINDS = [
  'killedBeforeCall',
  'killedAfterCall',
  'frozenBeforeCall',
  'frozenAfterCall',
  'answerLost',
  'storeDown',
  'storeSlow',
] as const;

/** One of FAULT_KINDS. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault at one step of a run. Steps count the platform calls of all processes, from 1. */
export interface PlannedFault {
  kind: FaultKind;
  step: number;
}

/** Duration of a store outage, in milliseconds of simulated time. */
const OUTAGE_MS = 20_000;

/** Duration of a slow call, in milliseconds of simulated time. */
const SLOW_CALL_MS = 3_000;

/** A simulated process, which can be killed or frozen by a fault. */
export interface FaultProcess {
  name: string;
  /** Table service whose calls are subject to the planned faults. */
  table: TableService;
  readonly isDead: boolean;
  readonly isFrozen: boolean;
  /**
   * Runs a task until it ends or the process is killed or frozen. Resolves to
   * whether it ended, with or without an error.
   */
  run(task: () => Promise<void>): Promise<boolean>;
  /** Continues a frozen process. */
  resume(): void;
}

/** Simulated processes and time, and a platform state with planned faults. */
export interface FaultSimulation {
  readonly nowMs: number;
  /** Number of steps before the end of the fault phase. */
  readonly faultStepCount: number;
  /** Stops the injection of faults, so that the protocol can recover before the check. */
  endFaultPhase(): void;
  state: PlatformState;
  /** Advances the simulated time. */
  advance(elapsedMs: number): void;
  createProcess(name: string): FaultProcess;
  /** Continues every frozen process. */
  resumeAll(): void;
}

/** Creates a simulation that injects the given faults. */
export function createFaultSimulation(
  plans: readonly PlannedFault[],
): FaultSimulation {
  const state = createPlatformState();
  const processes: FaultProcess[] = [];
  let nowMs = 1_000_000;
  let stepCount = 0;
  let faultSteps: number | undefined;
  let downUntilMs = 0;

  const createProcess = (name: string): FaultProcess => {
    let isDead = false;
    let isFrozen = false;
    let resumeCallbacks: Array<() => void> = [];
    let stopCallbacks: Array<() => void> = [];

    const interruptTasks = () => {
      stopCallbacks.forEach(resolve => resolve());
      stopCallbacks = [];
    };
    const kill = () => {
      isDead = true;
      interruptTasks();
      return new Promise<never>(() => {});
    };
    const freeze = () => {
      isFrozen = true;
      interruptTasks();
      return new Promise<void>(resolve => resumeCallbacks.push(resolve));
    };
    const faultHandlers: Record<
      FaultKind,
      <T>(performCall: () => T) => Promise<T>
    > = {
      killedBeforeCall: () => kill(),
      killedAfterCall: performCall => {
        performCall();
        return kill();
      },
      frozenBeforeCall: async performCall => {
        await freeze();
        return performCall();
      },
      frozenAfterCall: async performCall => {
        const response = performCall();
        await freeze();
        return response;
      },
      answerLost: async performCall => {
        performCall();
        throw new Error('answer lost');
      },
      storeDown: async () => {
        downUntilMs = nowMs + OUTAGE_MS;
        throw new Error('store down');
      },
      storeSlow: async performCall => {
        nowMs += SLOW_CALL_MS;
        return performCall();
      },
    };
    const callPlatform = async <T>(performCall: () => T): Promise<T> => {
      stepCount++;
      const plan =
        faultSteps === undefined && plans.find(({step}) => step === stepCount);
      if (nowMs < downUntilMs) throw new Error('store down');
      return plan ? faultHandlers[plan.kind](performCall) : performCall();
    };
    const process: FaultProcess = {
      name,
      table: {
        get: key => callPlatform(() => state.get(key)),
        scan: (from, to, limit) =>
          callPlatform(() => state.scan(from, to, limit)),
        transact: (writes, checks) =>
          callPlatform(() => state.transact(writes, checks)),
      },
      get isDead() {
        return isDead;
      },
      get isFrozen() {
        return isFrozen;
      },
      async run(task) {
        if (isDead || isFrozen) return false;
        const stopped = new Promise<boolean>(resolve =>
          stopCallbacks.push(() => resolve(false)),
        );
        const ended = task().then(
          () => true,
          () => true,
        );
        return Promise.race([ended, stopped]);
      },
      resume() {
        isFrozen = false;
        resumeCallbacks.forEach(resolve => resolve());
        resumeCallbacks = [];
      },
    };
    processes.push(process);
    return process;
  };
  return {
    get nowMs() {
      return nowMs;
    },
    get faultStepCount() {
      return faultSteps ?? stepCount;
    },
    endFaultPhase() {
      faultSteps ??= stepCount;
    },
    state,
    advance(elapsedMs) {
      nowMs += elapsedMs;
    },
    createProcess,
    resumeAll: () => processes.forEach(process => process.resume()),
  };
}

/** Waits until pending promises have been processed. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
  await new Promise(resolve => setImmediate(resolve));
}
