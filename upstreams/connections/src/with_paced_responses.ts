import type {Socket} from 'node:net';
import {processPacer, type InputPacer} from '@sardinestile/connections';
import type {buildConnector} from 'undici';
import {paceResponses, type ResponseProgress} from './pace_responses.js';

/** Options for `withPacedResponses`. */
export interface PacedResponsesOptions {
  /** Pacer of the connections; the one of the process by default. */
  pacer?: InputPacer;
  /** Called for each new connection. */
  onConnected?: (socket: Socket, progress: ResponseProgress) => void;
}

/**
 * Wraps a connector of an undici client. What arrives on its sockets is parsed in turns with
 * that of other connections, so that no upstream keeps the process from serving others.
 */
export function withPacedResponses(
  connector: buildConnector.connector,
  {
    pacer = processPacer,
    onConnected = () => undefined,
  }: PacedResponsesOptions = {},
): buildConnector.connector {
  return (options, callback) =>
    connector(options, (...[error, socket]) => {
      if (error) {
        callback(error, null);
        return;
      }
      onConnected(socket, paceResponses(socket, pacer));
      callback(null, socket);
    });
}
