import {createSeededRandom} from '@sardinestile/types';
import {createCall, isStream, sendSingleCall} from './calls.js';
import {eventIdsOf, type SoakCall} from './guarantees.js';
import {
  delay,
  pickRandom,
  type SoakContext,
  type SoakOptions,
} from './soak_context.js';

/** Share of the broken streams that are taken up late, when lost gateways are in contact again, and that delay. */
const LATE_RESUME_SHARE = 0.5;
const LATE_RESUME_MS = 4_700;

/** Share of the calls that have a harmful part or body while callers send one. */
const HARMFUL_SHARE = 0.2;

/** Sends requests of all kinds to all gateways until a time, and adds them to `calls`. */
export async function sendCalls(
  soak: SoakContext,
  {callsPerSecond, seed}: SoakOptions,
  calls: SoakCall[],
  endMs: number,
): Promise<void> {
  const open: Array<Promise<void>> = [];
  // A separate generator, so that the choice of faults does not depend on the
  // number of calls.
  const {next: random} = createSeededRandom(seed + 1_000_003);
  while (performance.now() < endMs) {
    const gateway = pickRandom(soak.gateways, random);
    const call = createCall(soak, calls, gateway, random);
    makeHarmful(call, soak, random);
    const other = pickRandom(soak.gateways, random);
    open.push(
      sendSingleCall(soak, call, gateway.address).then(async () => {
        const next = createResume(call, other.name);
        if (!next) return;
        if (random() < LATE_RESUME_SHARE) await delay(LATE_RESUME_MS);
        calls.push(next);
        await sendSingleCall(soak, next, other.address);
      }),
    );
    await delay(1_000 / callsPerSecond);
  }
  await Promise.all(open);
}

/** Gives a call a harmful part or body now and then; callers send harmful bodies again and again. */
function makeHarmful(
  call: SoakCall,
  {sentHarmfulParts, sentHarmfulBodies}: SoakContext,
  random: () => number,
): void {
  const harmful = isStream(call) ? sentHarmfulParts : sentHarmfulBodies;
  if (harmful.size === 0 || random() >= HARMFUL_SHARE) return;
  const chosen = pickRandom([...harmful], random);
  if (isStream(call)) call.promptPart = chosen;
  else call.body = chosen;
}

/** Returns the call that takes up a broken stream; undefined if there is nothing to take up. */
function createResume(call: SoakCall, gateway: string): SoakCall | undefined {
  const {id, kind, response} = call;
  if (kind !== 'resumable' || !response || response.isComplete) {
    return undefined;
  }
  if (eventIdsOf(response).length === 0) return undefined;
  return {
    ...call,
    id: `${id}r`,
    gateway,
    resumes: call,
    response: undefined,
    endedAtMs: undefined,
    sentWholeAtMs: undefined,
    openUntilMs: undefined,
  };
}
