import type {RandomSource} from '@sardinestile/types';

/**
 * Largest random part of a threshold, in requests. Gateways whose buckets are equal
 * become ready at times that are spread over it, so that most of them hear of the
 * first request before their own turn.
 */
const MAX_SPREAD = 2;

/**
 * Time after which a request that had to go elsewhere although there was a token halves the
 * spread, in milliseconds. It is longer than a datagram takes.
 */
const SPREAD_HALVING_MS = 20;

/** Time without requests after which the spread is large again, in milliseconds. */
const DEMAND_MEMORY_MS = 250;

/**
 * Gateways that may be ready at one moment, as a number and as a time at the limit in
 * milliseconds: a burst at all gateways sends about as many requests at once.
 */
const READY_GATEWAYS = 1;
const READY_MS = 700;

/** Cycles of a bucket that nobody uses after which earlier ones make no difference. */
const MAX_CYCLES = 10;

/** Rates of a bucket. */
export interface StaggerRates {
  /** Rate at which this bucket is filled, in requests a millisecond. */
  ratePerMs: number;
  /** Number of gateways that may send. */
  senderCount: number;
}

/** Random times at which a gateway may send a request. */
export interface SendStagger {
  /** Returns the tokens in a bucket after a time without sent requests, which ends now. */
  refill(
    tokens: number,
    elapsedMs: number,
    rates: StaggerRates,
    nowMs: number,
  ): number;
  /**
   * Returns the time until the bucket has enough tokens for a request that has arrived; 0
   * for now.
   */
  waitMs(tokens: number, ratePerMs: number, nowMs: number): number;
  /** Records a request of this or another gateway. */
  recordRequest(): void;
}

/**
 * Creates a stagger for one token bucket of which each gateway has a copy. A request
 * takes one token, but is sent only from a threshold of one token and a random part. A
 * bucket that is full stays ready for a short time, then starts at one token again with
 * another threshold, so that only a few of many gateways are ready at one moment. A
 * gateway whose own requests find tokens that nobody uses is ready more often.
 */
export function createSendStagger(random: RandomSource): SendStagger {
  let spread = MAX_SPREAD;
  let askedAtMs = -Infinity;
  let halvedAtMs = -Infinity;
  const drawThreshold = () => 1 + spread * random.next();
  let threshold = drawThreshold();
  /** Time for which the bucket has been ready. */
  let readyForMs = 0;
  return {
    refill(tokens, elapsedMs, rates, nowMs) {
      if (nowMs - askedAtMs > DEMAND_MEMORY_MS) spread = MAX_SPREAD;
      const {ratePerMs} = rates;
      const maxReadyMs = readyTimeMs(rates);
      const cycleMs = maxReadyMs + MAX_SPREAD / ratePerMs;
      let level = tokens;
      let restMs = Math.min(elapsedMs, MAX_CYCLES * cycleMs);
      for (;;) {
        const untilReadyMs = Math.max(0, threshold - level) / ratePerMs;
        if (restMs < untilReadyMs) return level + restMs * ratePerMs;
        restMs -= untilReadyMs;
        level = Math.max(level, threshold);
        const readyLeftMs = maxReadyMs - readyForMs;
        if (restMs < readyLeftMs) {
          readyForMs += restMs;
          return level;
        }
        restMs -= readyLeftMs;
        level = 1;
        threshold = drawThreshold();
        readyForMs = 0;
      }
    },
    waitMs(tokens, ratePerMs, nowMs) {
      askedAtMs = nowMs;
      const waitMs = Math.max(0, threshold - tokens) / ratePerMs;
      const isUnused = waitMs > 0 && tokens >= 1;
      if (isUnused && nowMs - halvedAtMs >= SPREAD_HALVING_MS) {
        spread /= 2;
        halvedAtMs = nowMs;
      }
      return waitMs;
    },
    recordRequest() {
      spread = Math.min(MAX_SPREAD, 2 * spread);
      threshold = drawThreshold();
      readyForMs = 0;
    },
  };
}

/** Longest time for which a bucket stays ready; Infinity if all gateways may be ready at once. */
function readyTimeMs({ratePerMs, senderCount}: StaggerRates): number {
  const ready = READY_GATEWAYS + ratePerMs * READY_MS;
  if (ready >= senderCount) return Infinity;
  const meanFillMs = MAX_SPREAD / 2 / ratePerMs;
  return (meanFillMs * ready) / (senderCount - ready);
}
