import {
  createBufferCollector,
  createFullCollection,
  readResidentBytes,
  type BufferCollector,
} from '@sardinestile/memory';
import type {Clock} from '@sardinestile/types';
import {createBodyAdmission, type BodyAdmission} from './body_admission.js';
import {
  createMemoryBudget,
  heldBytesLimit,
  type MemoryBudget,
} from './memory_budget.js';
import {createResidentLimit, waitingBytesLimit} from './resident_limit.js';

const BYTES_PER_MB = 1_048_576;

/** What keeps the resident memory of a gateway within its limit. */
export interface ProcessMemory {
  memoryBudget: MemoryBudget;
  bodyAdmission: BodyAdmission;
  /** Also lets the budget follow the resident memory while much is read. */
  bufferCollector: BufferCollector;
  /** Lets the budget follow the resident memory; called at intervals. */
  refresh(): void;
}

/** Wires the budget of a process; without a limit in megabytes nothing is refused for memory. */
export function createProcessMemory(
  memoryLimitMb: number | undefined,
  clock: Clock,
): ProcessMemory {
  const memoryBudget = createMemoryBudget(heldBytesLimit(memoryLimitMb));
  const memoryLimitBytes = (memoryLimitMb ?? 0) * BYTES_PER_MB;
  const residentLimit =
    memoryLimitMb === undefined
      ? undefined
      : createResidentLimit({
          memoryLimitBytes,
          budget: memoryBudget,
          readResidentBytes,
          collectAll: createFullCollection(),
          nowMs: () => clock.monotonicMs(),
        });
  const bufferCollector = createBufferCollector();
  return {
    memoryBudget,
    bodyAdmission: createBodyAdmission(
      memoryBudget,
      waitingBytesLimit(memoryLimitBytes),
    ),
    bufferCollector: {
      recordRead(bytes) {
        bufferCollector.recordRead(bytes);
        residentLimit?.recordRead(bytes);
      },
    },
    refresh: () => residentLimit?.refresh(),
  };
}
