import {HOST, ROUTE_PATHS, sendRawRequest} from '@sardinestile/hosting_tests';
import {createSeededRandom} from '@sardinestile/types';
import {eventIdsOf, type SoakCall, type SoakRequestKind} from './guarantees.js';
import {
  delay,
  pickRandom,
  type SoakContext,
  type SoakOptions,
} from './soak_context.js';

const KINDS: readonly SoakRequestKind[] = [
  'once',
  'idempotent',
  'resumable',
  'stream',
];

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
    const kind = pickRandom(KINDS, random);
    const gateway = pickRandom(soak.gateways, random);
    // Includes revoked keys, to check that they are rejected.
    const known = [...soak.revokedKeys.keys(), ...soak.keys];
    const call: SoakCall = {
      id: `c${calls.length}`,
      kind,
      key: random() < 0.8 ? soak.keys[0] : pickRandom(known, random),
      gateway: gateway.name,
      sentAtMs: performance.now(),
      promptPart: choosePromptPart(kind, soak.sentHarmfulParts, random),
    };
    call.body = chooseBody(call, soak.sentHarmfulBodies, random);
    calls.push(call);
    const other = pickRandom(soak.gateways, random);
    open.push(
      sendCall(call, gateway.address).then(async () => {
        const next = createResume(call, other.name);
        if (!next) return;
        calls.push(next);
        await sendCall(next, other.address);
      }),
    );
    await delay(1_000 / callsPerSecond);
  }
  await Promise.all(open);
}

async function sendCall(call: SoakCall, address: string): Promise<void> {
  try {
    call.response = await sendRawRequest({
      address,
      host: HOST,
      method: call.body === undefined ? 'GET' : 'POST',
      path: ROUTE_PATHS[call.kind],
      headers: {
        'Request-Id': call.id,
        'Deadline-Ms': '6000',
        Authorization: `Bearer ${call.key}`,
        ...promptHeaders(call),
        ...resumeHeaders(call),
      },
      body: call.body,
      timeoutMs: 8_000,
    });
    call.endedAtMs = performance.now();
  } catch {
    // The request timed out, so there is no response to check.
    call.response = undefined;
  }
}

/** Body of a call; lookups share an empty one, and callers send harmful ones again and again. */
function chooseBody(
  {id, kind}: SoakCall,
  harmfulBodies: ReadonlySet<string>,
  random: () => number,
): string | undefined {
  const isPlain = kind === 'once' || kind === 'idempotent';
  if (isPlain && harmfulBodies.size > 0 && random() < HARMFUL_SHARE) {
    return pickRandom([...harmfulBodies], random);
  }
  return kind === 'idempotent' ? undefined : id;
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
    sentAtMs: performance.now(),
    resumes: call,
    response: undefined,
  };
}

function resumeHeaders({resumes}: SoakCall): Record<string, string> {
  if (!resumes?.response) return {};
  const lastEventId = eventIdsOf(resumes.response).at(-1);
  return {Resumes: resumes.id, 'Last-Event-Id': String(lastEventId)};
}

/** Part of a stream's prompt that other requests share; a harmful one now and then. */
function choosePromptPart(
  kind: SoakRequestKind,
  harmfulParts: ReadonlySet<string>,
  random: () => number,
): string | undefined {
  if (kind !== 'stream' && kind !== 'resumable') return undefined;
  const isHarmful = harmfulParts.size > 0 && random() < HARMFUL_SHARE;
  return isHarmful
    ? pickRandom([...harmfulParts], random)
    : `5a${Math.floor(random() * 8)}`;
}

function promptHeaders({id, promptPart}: SoakCall): Record<string, string> {
  if (promptPart === undefined) return {};
  return {
    Model: 'm',
    'Token-Counts': '170,40',
    'Prompt-Prefix': `aa:100,${promptPart}:50,${id}ff:20`,
  };
}
