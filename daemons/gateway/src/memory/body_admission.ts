import type {MemoryAccount, MemoryBudget} from './memory_budget.js';

/** Longest time that a body waits for room, in milliseconds. */
const MAX_WAIT_MS = 500;

/**
 * Bytes that the system may have received of a body that is not read: one window of a
 * connection.
 */
const UNREAD_BYTES = 65_536;

/** Body that is not read until there is room for it. */
interface WaitingBody {
  account: MemoryAccount;
  /** Stated size. */
  bodyBytes: number;
  /** Part that has arrived and counts already. */
  arrivedBytes: number;
  decide: (isAdmitted: boolean) => void;
  timer?: NodeJS.Timeout;
}

/** Admits large bodies in order of arrival, while there is room for all of each. */
export interface BodyAdmission {
  /**
   * Calls back with whether to read a body, or the rest of one, at once or after a wait; its
   * size then counts in the account. Returns a function that ends the wait without a call.
   */
  request(
    account: MemoryAccount,
    size: {bodyBytes: number; arrivedBytes?: number},
    decide: (isAdmitted: boolean) => void,
  ): () => void;
}

/** Creates an admission. Bodies wait while others are held, with at most `maxWaitingBytes` in the system. */
export function createBodyAdmission(
  budget: MemoryBudget,
  maxWaitingBytes: number,
): BodyAdmission {
  const waiting = new Set<WaitingBody>();
  const maxWaiting = Math.floor(maxWaitingBytes / UNREAD_BYTES);
  const hasRoom = ({bodyBytes, arrivedBytes}: WaitingBody) =>
    budget.canTakeBody(bodyBytes, arrivedBytes);
  const admit = (body: WaitingBody) => {
    const {account, bodyBytes, arrivedBytes, decide, timer} = body;
    clearTimeout(timer);
    account.setMissing(bodyBytes - arrivedBytes);
    account.set('requestBody', bodyBytes);
    decide(true);
  };
  budget.onRoom(() => {
    for (const body of waiting) {
      if (!hasRoom(body)) return;
      waiting.delete(body);
      admit(body);
    }
  });
  return {
    request(account, {bodyBytes, arrivedBytes = 0}, decide) {
      const body: WaitingBody = {account, bodyBytes, arrivedBytes, decide};
      if (waiting.size === 0 && hasRoom(body)) {
        admit(body);
        return () => undefined;
      }
      const mayWait =
        waiting.size < maxWaiting &&
        budget.heldByKind().requestBody > 0 &&
        budget.couldTakeBody(bodyBytes);
      if (!mayWait) {
        decide(false);
        return () => undefined;
      }
      waiting.add(body);
      body.timer = setTimeout(() => {
        if (waiting.delete(body)) decide(false);
      }, MAX_WAIT_MS);
      return () => {
        clearTimeout(body.timer);
        waiting.delete(body);
      };
    },
  };
}
