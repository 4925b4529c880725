import {
  createLease,
  leaseRowSchema,
  type Lease,
  type LeaseCommand,
  type LeaseEvent,
} from '@sardinestile/lease';
import type {FaultProcess, FaultSimulation} from '../fault_simulation.js';
import {flushPromises} from '../fault_simulation.js';
import type {ProtocolUnderTest} from '../protocol.js';

const LEASE_KEY = 'lease/test';
const LEASE_DURATION_MS = 6_000;
const OPERATION_TIMEOUT_MS = 2_000;
const TICK_MS = 1_000;
const TICKS = 100;
const RESUME_TICK = 40;
const LAST_FAULT_TICK = 30;

interface Order {
  atMs: number;
  holder: string;
  fencingToken: number;
}

interface Claimant {
  process: FaultProcess;
  lease: Lease;
}

/** Two processes claim one lease; the holder sends an order at each tick. */
export const LEASE_PROTOCOL: ProtocolUnderTest = {
  name: 'lease',
  guarantee:
    'the platform never receives orders from two lease holders at once',
  async run(simulation, hasMechanism) {
    const orders: Order[] = [];
    const claimants = ['a', 'b'].map(name => createClaimant(simulation, name));
    let extraClaimants = 0;
    const currentTokenOf = ({lease}: Claimant) =>
      hasMechanism
        ? lease.fencingTokenAt(timeOf(simulation))
        : lease.fencingTokenAt({monotonicMs: -Infinity, wallMs: -Infinity});
    const sendOrder = (claimant: Claimant) => {
      const fencingToken = currentTokenOf(claimant);
      if (fencingToken === undefined) return;
      const holder = claimant.process.name;
      orders.push({atMs: simulation.nowMs, holder, fencingToken});
    };
    for (let tick = 0; tick < TICKS; tick++) {
      simulation.advance(TICK_MS);
      if (tick === LAST_FAULT_TICK) simulation.endFaultPhase();
      if (tick === RESUME_TICK) {
        simulation.resumeAll();
        claimants.filter(c => !c.process.isDead).forEach(sendOrder);
      }
      for (const claimant of claimants) {
        const {process} = claimant;
        await process.run(() =>
          handleEvent(claimant, simulation, {kind: 'timePassed'}),
        );
        await flushPromises();
        if (!process.isDead && !process.isFrozen) sendOrder(claimant);
      }
      if (claimants.every(claimant => claimant.process.isDead)) {
        claimants.push(createClaimant(simulation, `c${extraClaimants++}`));
      }
    }
    return checkOrders(orders, simulation.nowMs);
  },
};

function createClaimant(simulation: FaultSimulation, name: string): Claimant {
  let writes = 0;
  const lease = createLease({
    holderId: name,
    durationMs: LEASE_DURATION_MS,
    operationTimeoutMs: OPERATION_TIMEOUT_MS,
    nextWriterToken: () => `${name}-${writes++}`,
  });
  return {process: simulation.createProcess(name), lease};
}

function timeOf(simulation: FaultSimulation) {
  return {monotonicMs: simulation.nowMs, wallMs: simulation.nowMs};
}

async function handleEvent(
  claimant: Claimant,
  simulation: FaultSimulation,
  event: LeaseEvent,
): Promise<void> {
  for (const command of claimant.lease.handle(event, timeOf(simulation))) {
    const next = await executeCommand(claimant, command);
    await handleEvent(claimant, simulation, next);
  }
}

async function executeCommand(
  {process}: Claimant,
  command: LeaseCommand,
): Promise<LeaseEvent> {
  if (command.kind === 'read') {
    try {
      const row = await process.table.get(LEASE_KEY);
      if (!row) return {kind: 'read', lease: undefined};
      const parsed = leaseRowSchema.parse(JSON.parse(row.value));
      return {kind: 'read', lease: {row: parsed, version: row.version}};
    } catch {
      return {kind: 'readFailed'};
    }
  }
  const value = JSON.stringify(command.row);
  const {expectedVersion} = command;
  try {
    const write = {key: LEASE_KEY, value, expectedVersion};
    const {committed} = await process.table.transact([write]);
    return {kind: 'written', isCommitted: committed};
  } catch {
    return {kind: 'writeOutcomeUnknown'};
  }
}

function checkOrders(orders: readonly Order[], endMs: number): string[] {
  const failures: string[] = [];
  for (let i = 1; i < orders.length; i++) {
    const [before, after] = [orders[i - 1], orders[i]];
    if (after.fencingToken < before.fencingToken) {
      failures.push(`${after.holder} sent an order with an old fencing token`);
    }
    const isOtherHolder = after.holder !== before.holder;
    if (isOtherHolder && after.fencingToken === before.fencingToken) {
      failures.push(
        `${after.holder} and ${before.holder} used the same fencing token`,
      );
    }
    if (isOtherHolder && after.atMs - before.atMs < OPERATION_TIMEOUT_MS) {
      failures.push(
        `${after.holder} sent an order too soon after ${before.holder}`,
      );
    }
  }
  if (orders.length === 0) failures.push('no process ever held the lease');
  const lastMs = orders.at(-1)?.atMs ?? 0;
  if (endMs - lastMs > LEASE_DURATION_MS) {
    failures.push('no process held the lease at the end');
  }
  return failures;
}
