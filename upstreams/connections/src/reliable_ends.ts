import type {buildConnector} from 'undici';
import {holdEndWhileUnread} from './hold_end.js';
import {reportResets} from './report_resets.js';

/**
 * Wraps a connector of an undici client, which must allow half-open connections. Its sockets
 * end in order only if the upstream has closed them after all that it sent, once that was
 * read; a reset ends them with a `ResetByUpstreamError`.
 */
export function withReliableEnds(
  connector: buildConnector.connector,
): buildConnector.connector {
  return (options, callback) =>
    connector(options, (...[error, socket]) => {
      if (error) {
        callback(error, null);
        return;
      }
      holdEndWhileUnread(socket);
      reportResets(socket);
      callback(null, socket);
    });
}
