import type {GatewayContext} from '../gateway_context.js';
import type {Attempt} from './attempt.js';
import type {Call} from './call.js';

/**
 * Bytes that may have been read ahead on a connection that is not read any more: one
 * read of the event loop.
 */
const READ_AHEAD_BYTES = 65_536;

/** Stops reading a response of an upstream while the caller does not take it. */
export interface ReadingPause {
  /** Stops reading if too much is unread; called after each write to the caller. */
  update(): void;
}

/** Creates a pause for the response of one attempt. `onResumed` is called when reading goes on. */
export function createReadingPause(
  {memoryBudget}: GatewayContext,
  {response, output, account}: Call,
  attempt: Pick<Attempt, 'pause' | 'resume'>,
  onResumed: () => void,
): ReadingPause {
  let isPaused = false;
  const resume = () => {
    isPaused = false;
    account.set('readAhead', 0);
    onResumed();
    attempt.resume();
  };
  return {
    update() {
      if (isPaused) return;
      const mustStop =
        response.writableNeedDrain ||
        memoryBudget.shouldStopReading(output.unreadBytes);
      if (!mustStop) return;
      isPaused = true;
      account.set('readAhead', READ_AHEAD_BYTES);
      attempt.pause();
      output.onceTaken(resume);
    },
  };
}
