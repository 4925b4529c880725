import type {
  Scheduler,
  SchedulerCommand,
  SchedulerOptions,
} from '@sardinestile/scheduler';

/**
 * Creates the baseline scheduler, which serves requests in order of arrival and
 * never refuses or preempts.
 */
export function createFifoScheduler(options: SchedulerOptions): Scheduler {
  const running = new Set<string>();
  let waiting: string[] = [];
  let headIndex = 0;

  const offerWaiting = (): SchedulerCommand[] => {
    const commands: SchedulerCommand[] = [];
    while (running.size < options.capacity && headIndex < waiting.length) {
      const attemptId = waiting[headIndex++];
      running.add(attemptId);
      commands.push({kind: 'offer', attemptId});
    }
    // Drops served ids in batches, as each removal copies the whole queue.
    if (headIndex > 1000) {
      waiting = waiting.slice(headIndex);
      headIndex = 0;
    }
    return commands;
  };
  return {
    handle(event) {
      if (event.kind === 'arrived') waiting.push(event.request.attemptId);
      if (event.kind === 'finished') running.delete(event.attemptId);
      if (event.kind === 'withdrawn' && !running.delete(event.attemptId)) {
        waiting = waiting.filter(
          (id, index) => index < headIndex || id !== event.attemptId,
        );
      }
      return offerWaiting();
    },
    counts: () => ({
      running: running.size,
      waiting: waiting.length - headIndex,
      capacity: options.capacity,
    }),
    nextWakeUpMs: () => undefined,
    dump: () => [],
  };
}
