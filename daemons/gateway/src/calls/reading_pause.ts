import type {GatewayContext} from '../gateway_context.js';
import type {Attempt} from './attempt.js';
import type {Call} from './call.js';

/**
 * Bytes that may have been read ahead on a connection that is not read any more: one
 * read of the event loop.
 */
const READ_AHEAD_BYTES = 65_536;

/**
 * Shortest pause after which a lost connection counts as cut off because the response
 * stayed unread, in milliseconds. Upstreams wait some seconds.
 */
const MIN_UNREAD_MS = 500;

/**
 * Time after such a pause within which the loss is noticed, in milliseconds: a gateway
 * that does not read learns of a reset only after it has read what arrived before.
 */
const NOTICE_MS = 1_000;

/** Stops reading a response of an upstream while the caller does not take it. */
export interface ReadingPause {
  /** Stops reading if too much is unread; called after each write to the caller. */
  update(): void;
  /** Stops reading if too much is held; called after each addition to an incomplete part. */
  updateHeld(): void;
  readonly isPaused: boolean;
  /**
   * Returns for how long the response stayed unread, if that explains that its connection
   * is lost now.
   */
  unreadBeforeLossMs(): number | undefined;
}

/** Creates a pause for the response of one attempt. `onResumed` is called when reading goes on. */
export function createReadingPause(
  {memoryBudget, clock}: GatewayContext,
  {response, output, account}: Call,
  attempt: Pick<Attempt, 'pause' | 'resume'>,
  onResumed: () => void,
): ReadingPause {
  let pausedAtMs: number | undefined;
  /** The last pause that was long enough. */
  let lastLongPause: {endedAtMs: number; durationMs: number} | undefined;
  const recordPauseEnd = () => {
    if (pausedAtMs === undefined) return;
    const endedAtMs = clock.monotonicMs();
    const durationMs = endedAtMs - pausedAtMs;
    pausedAtMs = undefined;
    if (durationMs >= MIN_UNREAD_MS) lastLongPause = {endedAtMs, durationMs};
  };
  const pause = () => {
    pausedAtMs = clock.monotonicMs();
    account.set('readAhead', READ_AHEAD_BYTES);
    attempt.pause();
  };
  const resume = () => {
    recordPauseEnd();
    onResumed();
    attempt.resume();
  };
  return {
    get isPaused() {
      return pausedAtMs !== undefined;
    },
    unreadBeforeLossMs() {
      recordPauseEnd();
      if (!lastLongPause) return undefined;
      const {endedAtMs, durationMs} = lastLongPause;
      const isRecent = clock.monotonicMs() - endedAtMs <= NOTICE_MS;
      return isRecent ? durationMs : undefined;
    },
    update() {
      if (pausedAtMs !== undefined) return;
      const mustStop =
        response.writableNeedDrain ||
        memoryBudget.shouldStopReading(output.unreadBytes);
      if (!mustStop) return;
      pause();
      output.onceTaken(() => {
        account.set('readAhead', 0);
        resume();
      });
    },
    updateHeld() {
      if (pausedAtMs !== undefined) return;
      // What had been read ahead is part of what is held now.
      account.set('readAhead', 0);
      if (account.mayHoldMore()) return;
      pause();
      // undici cannot resume one response while it parses another.
      account.onceMayHoldMore(() => setImmediate(resume));
    },
  };
}
