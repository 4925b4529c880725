import {
  openKeptConnection,
  ROUTE_PATHS,
  type KeptConnection,
} from '@sardinestile/hosting_tests';
import type {GatewayProcess} from './gateway_process.js';
import {eventIdsOf, type SoakCall, type SoakRequestKind} from './guarantees.js';
import {pickRandom, type SoakContext} from './soak_context.js';
import {STREAM_EVENTS_HEADER} from './usual_upstream.js';

const KINDS: readonly SoakRequestKind[] = [
  'once',
  'idempotent',
  'resumable',
  'stream',
];

/** Kinds whose response is not a stream. */
export const UNARY_KINDS: readonly SoakRequestKind[] = ['once', 'idempotent'];

/** Time that callers state for a request, and after which they close the connection, in milliseconds. */
const DEADLINE_MS = 6_000;
const CALL_TIMEOUT_MS = 8_000;

/** How a caller writes its request. */
export interface CallPace {
  /** Number of chunks of the body; sent with a length if absent. */
  chunks?: number;
  /** Pause before each chunk, in milliseconds. */
  pauseMs?: number;
}

/** Creates a request of one of the kinds and adds it to `calls`. */
export function createCall(
  soak: SoakContext,
  calls: SoakCall[],
  gateway: GatewayProcess,
  random: () => number,
  kinds = KINDS,
): SoakCall {
  // Includes revoked keys, to check that they are rejected.
  const known = [...soak.revokedKeys.keys(), ...soak.keys];
  const call: SoakCall = {
    id: `c${calls.length}`,
    kind: pickRandom(kinds, random),
    key: random() < 0.8 ? soak.keys[0] : pickRandom(known, random),
    gateway: gateway.name,
    sentAtMs: performance.now(),
  };
  if (isStream(call)) call.promptPart = `5a${Math.floor(random() * 8)}`;
  if (call.kind !== 'idempotent') call.body = call.id;
  calls.push(call);
  return call;
}

/** Whether a call gets an event stream. */
export function isStream({kind}: SoakCall): boolean {
  return kind === 'stream' || kind === 'resumable';
}

/** Sends a call on a connection and records how it ended. */
export async function sendCall(
  call: SoakCall,
  connection: KeptConnection,
  {chunks, pauseMs}: CallPace = {},
): Promise<void> {
  call.sentAtMs = performance.now();
  const timer = setTimeout(() => {
    call.hasTimedOut = true;
    connection.close();
  }, CALL_TIMEOUT_MS);
  const {body, events} = call;
  const isChunked = chunks !== undefined && body !== undefined;
  const response = await connection.send({
    method: body === undefined ? 'GET' : 'POST',
    path: ROUTE_PATHS[call.kind],
    headers: {
      'Request-Id': call.id,
      'Deadline-Ms': String(DEADLINE_MS),
      Authorization: `Bearer ${call.key}`,
      ...(events === undefined ? {} : {[STREAM_EVENTS_HEADER]: `${events}`}),
      ...promptHeaders(call),
      ...resumeHeaders(call),
    },
    body: isChunked ? undefined : body,
    chunks: isChunked ? split(body, chunks) : undefined,
    pauseMs,
  });
  clearTimeout(timer);
  call.endedAtMs = performance.now();
  call.sentWholeAtMs = connection.sentWholeAtMs;
  call.openUntilMs = connection.openUntilMs;
  // After a timeout there is no response to check.
  if (!call.hasTimedOut) call.response = response;
}

/** Sends a call on a connection of its own. */
export async function sendSingleCall(
  {loopPolls}: SoakContext,
  call: SoakCall,
  address: string,
): Promise<void> {
  const connection = openKeptConnection(address, {loopPolls});
  await sendCall(call, connection);
  connection.close();
}

function split(text: string, parts: number): string[] {
  const length = Math.ceil(text.length / parts);
  return Array.from({length: Math.ceil(text.length / length)}, (_, i) =>
    text.slice(i * length, (i + 1) * length),
  );
}

function resumeHeaders({resumes}: SoakCall): Record<string, string> {
  if (!resumes?.response) return {};
  const lastEventId = eventIdsOf(resumes.response).at(-1);
  return {Resumes: resumes.id, 'Last-Event-Id': String(lastEventId)};
}

function promptHeaders({id, promptPart}: SoakCall): Record<string, string> {
  if (promptPart === undefined) return {};
  return {
    Model: 'm',
    'Token-Counts': '170,40',
    'Prompt-Prefix': `aa:100,${promptPart}:50,${id}ff:20`,
  };
}
