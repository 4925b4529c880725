import {
  createFaultSimulation,
  FAULT_KINDS,
  type FaultKind,
  type PlannedFault,
} from './fault_simulation.js';
import type {ProtocolUnderTest} from './protocol.js';

/** Distances between the first and the second fault of a pair, in steps. */
const PAIR_DISTANCES = [1, 2, 5, 11];

/** Results of one kind of fault at every step of one protocol. */
export interface MatrixCell {
  protocol: string;
  fault: string;
  tried: number;
  passed: number;
  /** Violated invariants, with the faults of the run in which they were found. */
  failures: Array<{plans: PlannedFault[]; broken: string[]}>;
}

/** Options for runMatrix. */
export interface RunMatrixOptions {
  protocols: readonly ProtocolUnderTest[];
  /** Whether to run pairs of faults besides single ones. */
  withPairs: boolean;
  /** Whether the mechanism that protects each protocol is on. */
  hasMechanism: boolean;
}

/** Runs every fault at every step of the given protocols. */
export async function runMatrix(
  options: RunMatrixOptions,
): Promise<MatrixCell[]> {
  const cells: MatrixCell[] = [];
  for (const protocol of options.protocols) {
    const steps = await countFaultSteps(protocol);
    for (const fault of FAULT_KINDS) {
      const plans = createPlans(fault, steps, options.withPairs);
      cells.push(await runCell(protocol, fault, plans, options.hasMechanism));
    }
  }
  return cells;
}

/** Counts the steps at which faults can be injected, by a run without faults. */
async function countFaultSteps(protocol: ProtocolUnderTest): Promise<number> {
  const simulation = createFaultSimulation([]);
  await protocol.run(simulation, true);
  return simulation.faultStepCount;
}

function createPlans(
  fault: FaultKind,
  steps: number,
  withPairs: boolean,
): PlannedFault[][] {
  const singles = Array.from({length: steps}, (_, index) => [
    {kind: fault, step: index + 1},
  ]);
  if (!withPairs) return singles;
  const pairs = singles.flatMap(([first]) =>
    FAULT_KINDS.flatMap(kind =>
      PAIR_DISTANCES.map(distance => [
        first,
        {kind, step: first.step + distance},
      ]),
    ),
  );
  return [...singles, ...pairs];
}

async function runCell(
  protocol: ProtocolUnderTest,
  fault: string,
  planLists: readonly PlannedFault[][],
  hasMechanism: boolean,
): Promise<MatrixCell> {
  const cell: MatrixCell = {
    protocol: protocol.name,
    fault,
    tried: 0,
    passed: 0,
    failures: [],
  };
  for (const plans of planLists) {
    const broken = await protocol.run(
      createFaultSimulation(plans),
      hasMechanism,
    );
    cell.tried++;
    if (broken.length === 0) cell.passed++;
    else cell.failures.push({plans, broken});
  }
  return cell;
}
