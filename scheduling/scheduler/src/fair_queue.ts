import {Heap} from 'heap-js';
import {Node as YallistNode, Yallist} from 'yallist';
import type {Attempt} from './attempt.js';
import {prefillTokensOf} from './prefill_estimator.js';

/** Waiting attempts and the virtual token counter of one organisation. */
interface OrganisationQueue {
  organisation: string;
  attempts: Yallist<Attempt>;
  /** Tokens served, divided by the organisation's weight. */
  counter: number;
  /** Sums over the waiting attempts. */
  promptTokens: number;
  prefillTokens: number;
  isInHeap: boolean;
}

interface HeapEntry {
  queue: OrganisationQueue;
  /**
   * Counter at the time of insertion. Counters only rise, so an outdated entry
   * is too low and is corrected when it comes to the top of the heap.
   */
  counter: number;
}

/** Number of waiting attempts and virtual token counter of one organisation. */
export interface OrganisationBacklog {
  organisation: string;
  waiting: number;
  counter: number;
}

/** Where an attempt is added to the queue of its organisation. */
export type QueuePosition = 'front' | 'end';

/** Waiting attempts; estimates may be fractions. */
export interface QueuedWork {
  attempts: number;
  prefillTokens: number;
}

/**
 * Waiting attempts of one class, ordered by virtual token counters: the next
 * attempt is the oldest one of the organisation with the lowest counter.
 */
export interface FairQueue {
  readonly size: number;
  /** Sum of the prefill tokens of all waiting attempts. */
  readonly prefillTokens: number;
  push(attempt: Attempt, position: QueuePosition): void;
  remove(attempt: Attempt): void;
  /** Returns the next attempt without removing it. */
  peek(): Attempt | undefined;
  /** Returns the last attempt of the organisation with the most waiting attempts. */
  peekLast(): Attempt | undefined;
  /** Adds served tokens, divided by the organisation's weight, to its counter. */
  charge(organisation: string, tokens: number): void;
  /** Returns the virtual token counter of an organisation. */
  counterOf(organisation: string): number;
  /**
   * Estimates the waiting attempts that start before a further one of this organisation,
   * by the counters and the prompts that are charged when attempts start. The further
   * one is added at the end of the organisation's queue, or at its front.
   */
  workAhead(organisation: string, position: QueuePosition): QueuedWork;
  backlogs(): OrganisationBacklog[];
  values(): Attempt[];
}

/** Creates an empty queue. */
export function createFairQueue(
  weightOf: (organisation: string) => number,
): FairQueue {
  const queues = new Map<string, OrganisationQueue>();
  const nodes = new Map<Attempt, YallistNode<Attempt>>();
  const heap = new Heap<HeapEntry>((a, b) => a.counter - b.counter);
  const backlogged = new Set<OrganisationQueue>();
  let lastServedCounter = 0;
  let prefillTokens = 0;

  const queueOf = (organisation: string) => {
    let queue = queues.get(organisation);
    if (!queue) {
      queue = {
        organisation,
        attempts: new Yallist(),
        counter: 0,
        promptTokens: 0,
        prefillTokens: 0,
        isInHeap: false,
      };
      queues.set(organisation, queue);
    }
    return queue;
  };
  /**
   * Raises the counter of an organisation that was idle to the lowest counter
   * of the waiting ones, so that idle time earns no advantage later.
   */
  const activate = (queue: OrganisationQueue) => {
    if (backlogged.has(queue)) return;
    const floor = findLeastServed()?.counter ?? lastServedCounter;
    queue.counter = Math.max(queue.counter, floor);
    backlogged.add(queue);
    if (queue.isInHeap) return;
    queue.isInHeap = true;
    heap.push({queue, counter: queue.counter});
  };
  /** Finds the organisation with waiting attempts that has the lowest counter. */
  const findLeastServed = (): OrganisationQueue | undefined => {
    for (;;) {
      const top = heap.peek();
      if (!top) return undefined;
      if (!backlogged.has(top.queue)) {
        heap.pop();
        top.queue.isInHeap = false;
        continue;
      }
      if (top.counter === top.queue.counter) return top.queue;
      heap.replace({queue: top.queue, counter: top.queue.counter});
    }
  };
  const push = (attempt: Attempt, position: QueuePosition) => {
    const queue = queueOf(attempt.request.organisation);
    activate(queue);
    const node = new YallistNode(attempt);
    if (position === 'front') queue.attempts.unshiftNode(node);
    else queue.attempts.pushNode(node);
    nodes.set(attempt, node);
    addTokens(queue, attempt, 1);
  };
  const addTokens = (
    queue: OrganisationQueue,
    {request}: Attempt,
    sign: 1 | -1,
  ) => {
    const ownPrefillTokens = sign * prefillTokensOf(request);
    prefillTokens += ownPrefillTokens;
    queue.prefillTokens += ownPrefillTokens;
    queue.promptTokens += sign * request.promptTokens;
  };
  /** Part of an organisation's waiting attempts that start below a counter, 0 to 1. */
  const partBelow = (queue: OrganisationQueue, counter: number) => {
    const {length} = queue.attempts;
    if (counter < queue.counter || length === 0) return 0;
    const weight = weightOf(queue.organisation);
    const chargeOfOne = queue.promptTokens / length / weight;
    if (chargeOfOne === 0) return 1;
    const started = 1 + Math.floor((counter - queue.counter) / chargeOfOne);
    return Math.min(1, started / length);
  };
  const findLongest = () => {
    let best: OrganisationQueue | undefined;
    for (const queue of backlogged) {
      if (!best || queue.attempts.length > best.attempts.length) best = queue;
    }
    return best;
  };
  return {
    get size() {
      return nodes.size;
    },
    get prefillTokens() {
      return prefillTokens;
    },
    push,
    remove(attempt) {
      const node = nodes.get(attempt);
      if (!node) return;
      nodes.delete(attempt);
      const queue = queueOf(attempt.request.organisation);
      addTokens(queue, attempt, -1);
      queue.attempts.removeNode(node);
      if (queue.attempts.length > 0) return;
      lastServedCounter = Math.max(lastServedCounter, queue.counter);
      backlogged.delete(queue);
    },
    peek: () => findLeastServed()?.attempts.head?.value,
    peekLast: () => findLongest()?.attempts.tail?.value,
    charge(organisation, tokens) {
      const queue = queueOf(organisation);
      queue.counter += tokens / weightOf(organisation);
    },
    counterOf: organisation => queueOf(organisation).counter,
    workAhead(organisation, position) {
      const own = queueOf(organisation);
      const floor = findLeastServed()?.counter ?? lastServedCounter;
      const ownCounter = backlogged.has(own)
        ? own.counter
        : Math.max(own.counter, floor);
      const ownTokens = position === 'end' ? own.promptTokens : 0;
      const startCounter = ownCounter + ownTokens / weightOf(organisation);
      const ownPart = position === 'end' ? 1 : 0;
      const ahead = {attempts: 0, prefillTokens: 0};
      for (const queue of backlogged) {
        const part = queue === own ? ownPart : partBelow(queue, startCounter);
        ahead.attempts += part * queue.attempts.length;
        ahead.prefillTokens += part * queue.prefillTokens;
      }
      return ahead;
    },
    backlogs: () =>
      [...queues.values()].map(queue => ({
        organisation: queue.organisation,
        waiting: queue.attempts.length,
        counter: queue.counter,
      })),
    values: () => [...nodes.keys()],
  };
}
