import type {FaultSimulation} from './fault_simulation.js';

/** A protocol to run under faults, with its invariant checks. */
export interface ProtocolUnderTest {
  name: string;
  /** Guarantee that the checks cover. */
  guarantee: string;
  /**
   * Runs the protocol and returns the violated invariants. With `hasMechanism`
   * false, the mechanism that protects the protocol is off and the fault matrix
   * has to find violations.
   */
  run(simulation: FaultSimulation, hasMechanism: boolean): Promise<string[]>;
}
