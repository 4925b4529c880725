import {estimateEngineTimeMs, type Deployment} from './deployment.js';
import type {Scenario} from './scenario.js';
import type {LoadRequest} from './workload.js';

/** Length of a simulation step of the fluid model. */
const STEP_MS = 100;

/**
 * Fraction of each prompt that the prefix cache can hold. Matches the length
 * of the shared prefixes in the virtual engine.
 */
const CACHED_PROMPT_FRACTION = 0.5;

/** Output tokens that can be served within the targets, by class name. */
export type GoodTokensByClass = Map<string, number>;

/** A request as an amount of engine time. */
interface FluidRequest {
  /** Engine time that the request still needs. */
  remainingMs: number;
  tokensPerMs: number;
  /** Time after which the request can no longer start within its targets. */
  expiresAtMs: number;
}

/**
 * Computes the goodput of a clairvoyant router in a fluid model, from
 * `measuredFromMs` until the load ends. This router knows all response lengths,
 * divides the engines' time among requests without loss, and respects tiers and
 * minimum shares.
 */
export function computeFluidBound(
  deployment: Deployment,
  scenario: Scenario,
  requests: readonly LoadRequest[],
  measuredFromMs: number,
): GoodTokensByClass {
  const classes = deployment.serviceText.requestClasses
    .filter(requestClass => requestClass.service === deployment.service)
    .sort((a, b) => a.tier - b.tier);
  const queues = new Map(
    classes.map(requestClass => [requestClass.name, [] as FluidRequest[]]),
  );
  const goodTokens: GoodTokensByClass = new Map(
    classes.map(requestClass => [requestClass.name, 0]),
  );
  let nextIndex = 0;

  /** Spends engine time on a class and returns the unused part of the budget. */
  const serveClass = (className: string, budgetMs: number, nowMs: number) => {
    const queue = queues.get(className)!;
    let remainingBudgetMs = budgetMs;
    while (remainingBudgetMs > 0 && queue.length > 0) {
      const [first] = queue;
      if (first.expiresAtMs < nowMs) {
        queue.shift();
        continue;
      }
      // A request that has started is served to its end.
      first.expiresAtMs = Infinity;
      const usedMs = Math.min(remainingBudgetMs, first.remainingMs);
      remainingBudgetMs -= usedMs;
      first.remainingMs -= usedMs;
      if (nowMs >= measuredFromMs) {
        const tokens = goodTokens.get(className)! + usedMs * first.tokensPerMs;
        goodTokens.set(className, tokens);
      }
      if (first.remainingMs > 0) break;
      queue.shift();
    }
    return remainingBudgetMs;
  };

  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    for (; requests[nextIndex]?.arrivesAtMs <= nowMs; nextIndex++) {
      const request = requests[nextIndex];
      queues
        .get(request.requestClass.name)!
        .push(toFluidRequest(request, deployment.capacity));
    }
    const capacityMs =
      STEP_MS * countAvailableUpstreams(deployment, scenario, nowMs);
    let spareMs = capacityMs;
    for (const {name, minShare} of classes) {
      const guaranteedMs = minShare * capacityMs;
      spareMs -= guaranteedMs - serveClass(name, guaranteedMs, nowMs);
    }
    for (const {name} of classes) spareMs = serveClass(name, spareMs, nowMs);
  }
  return goodTokens;
}

function toFluidRequest(request: LoadRequest, capacity: number): FluidRequest {
  const {promptTokens, outputTokens, arrivesAtMs, requestClass} = request;
  const {firstTokenMs = Infinity, answerMs = Infinity} = requestClass.targets;
  const sizes = {
    promptTokensMean: promptTokens * (1 - CACHED_PROMPT_FRACTION),
    outputTokensMean: outputTokens,
  };
  const remainingMs = estimateEngineTimeMs(sizes, capacity);
  return {
    remainingMs,
    tokensPerMs: outputTokens / remainingMs,
    expiresAtMs: arrivesAtMs + Math.min(firstTokenMs, answerMs),
  };
}

/**
 * Returns the upstreams in service at a time. An upstream that is slowed down
 * counts as a fraction.
 */
function countAvailableUpstreams(
  deployment: Deployment,
  scenario: Scenario,
  nowMs: number,
): number {
  const zoneCount = deployment.serviceText.availabilityZones.length;
  let available = deployment.upstreamCount;
  for (const fault of scenario.faults) {
    if (nowMs < fault.startsAtMs || nowMs >= fault.endsAtMs) continue;
    if (fault.kind === 'crash') available -= 1;
    if (fault.kind === 'slowdown') available -= 1 - 1 / fault.slowdownFactor!;
    if (fault.kind === 'zoneLoss') {
      available -= Math.ceil(deployment.upstreamCount / zoneCount);
    }
  }
  return available;
}
