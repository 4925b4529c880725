import {
  openKeptConnection,
  type KeptConnection,
} from '@sardinestile/hosting_tests';
import {createSeededRandom} from '@sardinestile/types';
import {
  createCall,
  isStream,
  sendCall,
  UNARY_KINDS,
  type CallPace,
} from './calls.js';
import type {GatewayProcess} from './gateway_process.js';
import type {SoakCall, SoakRequestKind} from './guarantees.js';
import {delay, type SoakContext, type SoakOptions} from './soak_context.js';

/** Wait before a new connection and after a refusal, in milliseconds. */
const RECONNECT_DELAY_MS = 50;
const REFUSAL_DELAY_MS = 50;

/**
 * Delay of the connections of every other caller in each direction, in milliseconds. On
 * them a close and the next request cross.
 */
const CONNECTION_DELAY_MS = 3;

/** One caller of so many waits between its requests, up to so many milliseconds. */
const CALLERS_PER_THINKING = 3;
const MAX_THINK_MS = 400;

/** One caller of so many sends no streams, so that a response is due at most moments. */
const CALLERS_PER_UNARY = 4;

/** Shares of the calls whose body comes in chunks, that are read slowly, and of streams that are long. */
const CHUNKED_SHARE = 0.3;
const SLOW_SHARE = 0.1;
const LONG_SHARE = 0.25;

/** Largest pauses between chunks and in reading, in milliseconds. */
const MAX_CHUNK_PAUSE_MS = 60;
const MAX_READ_PAUSE_MS = 2_000;

/** Range of the number of events of a long stream. */
const MIN_LONG_EVENTS = 25;
const MAX_LONG_EVENTS = 85;

/**
 * Runs callers that keep their connections open until the gateway closes them, for all
 * gateways until a time, and adds their calls to `calls`.
 */
export async function runKeptCallers(
  soak: SoakContext,
  {keptCallers, seed}: SoakOptions,
  calls: SoakCall[],
  endMs: number,
): Promise<void> {
  const callers = soak.gateways.flatMap(gateway =>
    Array.from({length: keptCallers}, (_, number) => ({
      gateway,
      number,
      delayMs: number % 2 === 0 ? 0 : CONNECTION_DELAY_MS,
    })),
  );
  await Promise.all(
    callers.map(({gateway, number, delayMs}, i) => {
      const {next: random} = createSeededRandom(seed * 10_007 + i);
      const isThinking = number % CALLERS_PER_THINKING === 0;
      const kinds = number % CALLERS_PER_UNARY === 1 ? UNARY_KINDS : undefined;
      const caller = {
        soak,
        calls,
        gateway,
        delayMs,
        random,
        isThinking,
        kinds,
      };
      return runCaller(caller, endMs);
    }),
  );
}

interface KeptCaller {
  soak: SoakContext;
  calls: SoakCall[];
  gateway: GatewayProcess;
  /** Delay of its connections in each direction, in milliseconds. */
  delayMs: number;
  random: () => number;
  isThinking: boolean;
  /** Kinds of its requests; all if absent. */
  kinds?: readonly SoakRequestKind[];
}

async function runCaller(caller: KeptCaller, endMs: number): Promise<void> {
  const {
    soak: {loopPolls},
    gateway,
    delayMs,
  } = caller;
  while (performance.now() < endMs) {
    const connection = openKeptConnection(gateway.address, {
      delayMs,
      loopPolls,
    });
    if (await connection.opened) {
      await useConnection(caller, connection, endMs);
    }
    connection.close();
    await delay(RECONNECT_DELAY_MS);
  }
}

/** Sends one request after the other until the connection must not be used any more. */
async function useConnection(
  {soak, calls, gateway, random, isThinking, kinds}: KeptCaller,
  connection: KeptConnection,
  endMs: number,
): Promise<void> {
  while (!connection.isClosed && performance.now() < endMs) {
    const call = createCall(soak, calls, gateway, random, kinds);
    if (isStream(call) && random() < LONG_SHARE) {
      const range = MAX_LONG_EVENTS - MIN_LONG_EVENTS;
      call.events = MIN_LONG_EVENTS + Math.floor(random() * range);
    }
    const pace: CallPace =
      random() < CHUNKED_SHARE
        ? {chunks: 3, pauseMs: random() * MAX_CHUNK_PAUSE_MS}
        : {};
    const resumeTimer =
      random() < SLOW_SHARE && readLater(call, connection, random);
    await sendCall(call, connection, pace);
    if (resumeTimer) clearTimeout(resumeTimer);
    connection.resume();
    // A response that came before the end of its request leaves the rest of it to be sent.
    const isUsable =
      call.response?.isComplete &&
      call.response.headers.connection !== 'close' &&
      call.sentWholeAtMs !== undefined;
    if (!isUsable) return;
    if (call.response?.status !== 200) await delay(REFUSAL_DELAY_MS);
    if (isThinking) await delay(random() * MAX_THINK_MS);
  }
}

/** Stops reading for a while. */
function readLater(
  call: SoakCall,
  connection: KeptConnection,
  random: () => number,
): NodeJS.Timeout {
  connection.pause();
  const pauseMs = 100 + random() * (MAX_READ_PAUSE_MS - 100);
  return setTimeout(() => {
    call.readFromMs = performance.now();
    connection.resume();
  }, pauseMs);
}
