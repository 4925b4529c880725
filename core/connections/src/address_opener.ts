import type {Socket} from 'node:dgram';
import type {Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {SardinestileError} from '@sardinestile/errors';
import {createLogger, type Logger} from '@sardinestile/logger';

/** Interval at which an address that is not available is tried again, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** Errors that can pass: another socket has the address, or no interface has it yet. */
const PASSING_ERRORS = /EADDRINUSE|EADDRNOTAVAIL/;

/** What is served at an address. */
export type AddressPurpose =
  | 'callers'
  | 'readiness'
  | 'peers'
  | 'peerDatagrams'
  | 'metrics'
  | 'operators'
  | 'sessions';

/** Address to open; port 0 selects any free port. */
export interface OpenableAddress {
  host: string;
  port: number;
  /** Connections that the operating system may queue; its default if absent. */
  backlog?: number;
}

/** Options for `createAddressOpener`. */
export interface AddressOpenerOptions {
  /** Writes to standard output by default. */
  logger?: Logger;
  /** Time from now for which unavailable addresses are tried again, in milliseconds; 0 by default. */
  limitMs?: number;
  /** Ends all waits; they reject with its reason. */
  signal?: AbortSignal;
}

/**
 * Opens addresses. One that is taken, or that no interface has, is tried again until the
 * limit that all addresses of the opener share.
 */
export interface AddressOpener {
  /** Time waited for each address that was not available at once, as `purpose:ms`, by commas. */
  readonly waits: string;
  /** Lets a server listen; rejects with `ADDRESS_UNAVAILABLE` at the limit. */
  listen(
    purpose: AddressPurpose,
    server: Server,
    address: OpenableAddress,
  ): Promise<void>;
  /** Binds a datagram socket; rejects with `ADDRESS_UNAVAILABLE` at the limit. */
  bind(
    purpose: AddressPurpose,
    socket: Socket,
    address: OpenableAddress,
  ): Promise<void>;
  /** Repeats an attempt of another kind; rejects with `ADDRESS_UNAVAILABLE` at the limit. */
  open<T>(
    purpose: AddressPurpose,
    address: OpenableAddress,
    attempt: () => Promise<T>,
  ): Promise<T>;
}

/** Creates an opener, whose limit counts from now. */
export function createAddressOpener(
  options: AddressOpenerOptions = {},
): AddressOpener {
  const {limitMs = 0, signal} = options;
  const {logger = createLogger({level: 'info'})} = options;
  const deadlineMs = performance.now() + limitMs;
  const waits: string[] = [];
  const opener: AddressOpener = {
    get waits() {
      return waits.join(',');
    },
    listen: (purpose, server, address) =>
      opener.open(purpose, address, () =>
        settle(server, () => server.listen(address)),
      ),
    bind: (purpose, socket, address) =>
      opener.open(purpose, address, () =>
        settle(socket, () => socket.bind(address.port, address.host)),
      ),
    async open(purpose, {host, port}, attempt) {
      const address = `${host}:${port}`;
      const startedAtMs = performance.now();
      const waitedMs = () => Math.round(performance.now() - startedAtMs);
      let hasWaited = false;
      for (;;) {
        signal?.throwIfAborted();
        try {
          const result = await attempt();
          if (hasWaited) {
            const waitMs = waitedMs();
            waits.push(`${purpose}:${waitMs}`);
            logger.info('address_opened', {purpose, address, waitMs});
          }
          return result;
        } catch (error) {
          if (!isPassing(error)) throw error;
          const reason = (error as Error).message;
          if (performance.now() >= deadlineMs) {
            const waitMs = waitedMs();
            logger.error('address_given_up', {
              purpose,
              address,
              reason,
              waitMs,
            });
            throw unavailable(purpose, address, error as Error);
          }
          if (!hasWaited) {
            logger.warn('address_waiting', {purpose, address, reason});
          }
          hasWaited = true;
        }
        await sleepUnlessAborted(signal);
      }
    },
  };
  return opener;
}

/** Resolves when the server or socket listens, and rejects when it cannot. */
function settle(emitter: Server | Socket, begin: () => void): Promise<void> {
  return new Promise((resolve, reject) => {
    const events = emitter as NodeJS.EventEmitter;
    const onListening = () => {
      events.off('error', onError);
      resolve();
    };
    const onError = (error: Error) => {
      events.off('listening', onListening);
      reject(error);
    };
    events.once('listening', onListening).once('error', onError);
    begin();
  });
}

function isPassing(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const {code = ''} = error as NodeJS.ErrnoException;
  // Errors of gRPC have the code in their message only.
  return PASSING_ERRORS.test(`${code} ${error.message}`);
}

function unavailable(purpose: AddressPurpose, address: string, cause: Error) {
  return new SardinestileError({
    code: 'ADDRESS_UNAVAILABLE',
    message: `the address for ${purpose}, ${address}, is not available: ${cause.message}`,
    hint: 'End the process that uses the port, or choose another port or host.',
    cause,
  });
}

/** Waits until the next attempt; the caller checks whether the signal ended the wait. */
async function sleepUnlessAborted(signal?: AbortSignal): Promise<void> {
  await sleep(RETRY_INTERVAL_MS, undefined, {signal}).catch(() => undefined);
}
