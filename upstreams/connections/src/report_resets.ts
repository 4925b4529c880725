import type {Socket} from 'node:net';

/** Code of a `ResetByUpstreamError`. */
export const RESET_BY_UPSTREAM_CODE = 'ERR_RESET_BY_UPSTREAM';

/** Error of a connection that the upstream has reset: what it sent last may be lost. */
export class ResetByUpstreamError extends Error {
  readonly code = RESET_BY_UPSTREAM_CODE;

  constructor(cause?: Error) {
    super('the upstream reset the connection', {cause});
    this.name = 'ResetByUpstreamError';
  }
}

/**
 * Lets a connected socket end with a `ResetByUpstreamError` whenever a reset ends it. libuv
 * reports a reset that arrives beside data as an end in order, and undici takes a response
 * without a length as complete after such an end and after ECONNRESET.
 */
export function reportResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (
    event: string | symbol,
    ...args: unknown[]
  ) => boolean;
  const emitUnlessReset = (event: string | symbol, ...args: unknown[]) => {
    if (event === 'end' && hasLostPeer(socket)) {
      socket.destroy(new ResetByUpstreamError());
      return true;
    }
    const [error] = args as [NodeJS.ErrnoException?];
    return event === 'error' && error?.code === 'ECONNRESET'
      ? emit(event, new ResetByUpstreamError(error))
      : emit(event, ...args);
  };
  socket.emit = emitUnlessReset as typeof socket.emit;
}

/**
 * Whether a socket at its end was reset: the system forgets the address of the peer then,
 * but not at an end in order. Node.js keeps an address that was read before.
 */
function hasLostPeer(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
