import {createConfigReplica, type ConfigReplica} from '@sardinestile/replica';
import {createConfigStore, type ConfigStore} from '@sardinestile/store';
import {
  flushPromises,
  type FaultProcess,
  type FaultSimulation,
} from '../fault_simulation.js';
import type {ProtocolUnderTest} from '../protocol.js';

const KEYS_PER_OPERATOR = 4;
const TICK_MS = 1_000;
const TICKS = 60;
const RESUME_TICK = 35;
const LAST_FAULT_TICK = 12;

interface Operator {
  process: FaultProcess;
  replica: ConfigReplica;
  store: ConfigStore;
  /** Configuration versions that were acknowledged to the operator, by key id. */
  acknowledged: Map<string, number>;
  /** Version of the replica after each tick. */
  versions: number[];
}

/** Two operators grant keys concurrently, each with its own replica of the configuration. */
export const CONFIG_PROTOCOL: ProtocolUnderTest = {
  name: 'configuration',
  guarantee:
    'an acknowledged configuration change is applied and never reverted',
  async run(simulation, hasMechanism) {
    const operators = ['a', 'b'].map(name =>
      createOperator(simulation, name, hasMechanism),
    );
    for (let tick = 0; tick < TICKS; tick++) {
      simulation.advance(TICK_MS);
      if (tick === LAST_FAULT_TICK) simulation.endFaultPhase();
      if (tick === RESUME_TICK) simulation.resumeAll();
      await Promise.all(
        operators.map(operator =>
          operator.process.run(() => grantNextKey(operator)),
        ),
      );
      await flushPromises();
      operators.forEach(({versions, replica}) =>
        versions.push(replica.version),
      );
    }
    const freshOperator = createOperator(simulation, 'fresh', true);
    await freshOperator.process.run(() => freshOperator.store.refresh());
    return operators.flatMap(operator =>
      checkOperator(operator, freshOperator),
    );
  },
};

function createOperator(
  simulation: FaultSimulation,
  name: string,
  hasMechanism: boolean,
): Operator {
  const process = simulation.createProcess(name);
  const replica = createConfigReplica();
  const table = hasMechanism
    ? process.table
    : {
        ...process.table,
        transact: (writes: Parameters<typeof process.table.transact>[0]) =>
          process.table.transact(
            writes.map(write => ({...write, expectedVersion: null})),
          ),
      };
  const store = createConfigStore({
    table,
    objects: {
      put: async (key, value) => void simulation.state.objects.set(key, value),
      get: async key => simulation.state.objects.get(key),
    },
    replica,
    nowMs: () => simulation.nowMs,
  });
  return {process, replica, store, acknowledged: new Map(), versions: []};
}

async function grantNextKey(operator: Operator): Promise<void> {
  const {store, replica, acknowledged, process} = operator;
  await store.refresh();
  if (acknowledged.size >= KEYS_PER_OPERATOR) return;
  const keyId = `${process.name}${acknowledged.size}`;
  const key = {keyId, organisation: 'o', secretHash: keyId};
  const version = await store.append(
    {kind: 'keyGranted', key},
    replica.version,
  );
  acknowledged.set(keyId, version);
}

function checkOperator(operator: Operator, fresh: Operator): string[] {
  const failures: string[] = [];
  const {acknowledged, versions, process, replica} = operator;
  for (const [keyId] of acknowledged) {
    if (!fresh.replica.hasKey(keyId)) failures.push(`${keyId} was lost`);
  }
  versions.forEach((version, index) => {
    if (version < versions[index - 1]) failures.push('a version decreased');
  });
  const isUp = !process.isDead && !process.isFrozen;
  if (isUp && acknowledged.size < KEYS_PER_OPERATOR) {
    failures.push(`${process.name} could not make all its changes`);
  }
  if (isUp && replica.version !== fresh.replica.version) {
    failures.push(`${process.name} has an outdated replica`);
  }
  return failures;
}
