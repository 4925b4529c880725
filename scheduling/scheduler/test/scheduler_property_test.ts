import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  createScheduler,
  type ClassPolicy,
  type SchedulerCommand,
} from '../src/index.js';

const CAPACITY = 4;
const OVERCOMMIT_SLOTS = 4;

const CLASSES: ClassPolicy[] = [
  {name: 'c0', tier: 0, minShare: 0.2, firstTokenMs: 300},
  {name: 'c1', tier: 1, minShare: 0.2, firstTokenMs: 900, answerMs: 5_000},
  {name: 'c2', tier: 2, minShare: 0.1},
];

/** One step: the event, the request that it concerns and the time since the last step. */
const stepArbitrary = fc.record({
  kind: fc.constantFrom('arrive', 'arrive', 'finish', 'withdraw', 'token'),
  requestClass: fc.nat(2),
  organisation: fc.nat(3),
  pick: fc.nat(1_000),
  elapsedMs: fc.integer({min: 0, max: 400}),
  promptTokens: fc.integer({min: 1, max: 5_000}),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Applies the commands to a model and records each violation of the rules. */
function createModel() {
  const waiting = new Map<string, number>();
  const running = new Map<string, number>();
  const stopping = new Set<string>();
  const overtaken = new Set<string>();
  const ended = new Set<string>();
  const errors: string[] = [];

  const isLowerWaiting = (tier: number) =>
    [...waiting.values()].some(other => other > tier);
  const commandHandlers: Record<
    SchedulerCommand['kind'],
    (id: string) => void
  > = {
    offer(id) {
      const tier = waiting.get(id);
      if (tier === undefined) return void errors.push(`invalid offer to ${id}`);
      waiting.delete(id);
      overtaken.delete(id);
      running.set(id, tier);
      for (const [other, otherTier] of waiting) {
        if (otherTier < tier) overtaken.add(other);
      }
    },
    refuse(id) {
      if (ended.has(id)) errors.push(`${id} refused after its end`);
      const tier = waiting.get(id) ?? running.get(id)!;
      waiting.delete(id);
      if (overtaken.has(id)) errors.push(`${id} refused though overtaken`);
      if (isLowerWaiting(tier)) errors.push(`${id} refused before lower tier`);
      if (!running.has(id)) ended.add(id);
    },
    preempt(id) {
      const tier = running.get(id)!;
      const hasHigherWaiting = [...waiting.values()].some(
        other => other < tier,
      );
      if (!hasHigherWaiting) errors.push(`${id} preempted for no higher tier`);
      stopping.add(id);
    },
  };
  return {waiting, running, stopping, ended, errors, commandHandlers};
}

function runSteps(steps: readonly Step[]): string[] {
  const scheduler = createScheduler({
    classes: CLASSES,
    capacity: CAPACITY,
    overcommitSlots: OVERCOMMIT_SLOTS,
    weightOf: () => 1,
  });
  const model = createModel();
  let nowMs = 1;
  const apply = (event: Parameters<typeof scheduler.handle>[0]) => {
    for (const command of scheduler.handle(event, nowMs)) {
      const {attemptId} = command;
      const wasRunning = model.running.has(attemptId);
      model.commandHandlers[command.kind](attemptId);
      if (command.kind === 'refuse' && wasRunning) end(attemptId, 'finished');
    }
    for (const attemptId of [...model.stopping]) {
      model.stopping.delete(attemptId);
      const tier = model.running.get(attemptId);
      if (tier === undefined) continue;
      model.running.delete(attemptId);
      model.waiting.set(attemptId, tier);
      apply({kind: 'requeued', attemptId});
    }
  };
  const end = (attemptId: string, kind: 'finished' | 'withdrawn') => {
    model.running.delete(attemptId);
    model.waiting.delete(attemptId);
    model.stopping.delete(attemptId);
    model.ended.add(attemptId);
    apply({kind, attemptId});
  };
  steps.forEach((step, index) => {
    nowMs += step.elapsedMs;
    const runningIds = [...model.running.keys()];
    const allIds = [...model.waiting.keys(), ...runningIds];
    const pick = (ids: string[]) => ids[step.pick % ids.length];
    if (step.kind === 'arrive') {
      const attemptId = `r${index}`;
      const requestClass = CLASSES[step.requestClass];
      model.waiting.set(attemptId, requestClass.tier);
      apply({
        kind: 'arrived',
        request: {
          attemptId,
          requestClass: requestClass.name,
          organisation: `o${step.organisation}`,
          promptTokens: step.promptTokens,
          isPreemptible: true,
        },
      });
    } else if (step.kind === 'finish' && runningIds.length > 0) {
      end(pick(runningIds), 'finished');
    } else if (step.kind === 'withdraw' && allIds.length > 0) {
      end(pick(allIds), 'withdrawn');
    } else if (step.kind === 'token' && runningIds.length > 0) {
      const attemptId = pick(runningIds);
      apply({kind: 'firstToken', attemptId});
      apply({kind: 'tokensServed', attemptId, tokens: 1});
    } else {
      apply({kind: 'timePassed'});
    }
    const counts = scheduler.counts();
    if (model.running.size > CAPACITY + OVERCOMMIT_SLOTS) {
      model.errors.push('more requests run than there are slots');
    }
    if (counts.running !== model.running.size) {
      model.errors.push(
        `${counts.running} counted as running, ${model.running.size} expected`,
      );
    }
    if (counts.waiting !== model.waiting.size) {
      model.errors.push(
        `${counts.waiting} counted as waiting, ${model.waiting.size} expected`,
      );
    }
  });
  return model.errors;
}

describe('createScheduler under random events', () => {
  it('respects priorities and the number of slots, and counts correctly', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 300}), steps => {
        expect(runSteps(steps)).toEqual([]);
      }),
      {seed: 20261203, numRuns: 400},
    );
  });
});
