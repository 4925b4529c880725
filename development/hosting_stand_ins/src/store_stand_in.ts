import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import {
  readJson,
  sendJson,
  startListener,
  type StandInListener,
} from './http_stand_in.js';
import type {StoreState, Transaction} from './store_state.js';

const MAX_ROWS_PER_ANSWER = 500;

/**
 * Starts a listener that serves a store. Several listeners can serve the same
 * store, each with its own mode of failure.
 */
export function startStoreListener(
  state: StoreState,
): Promise<StandInListener> {
  const handlers: Readonly<
    Record<
      string,
      (url: URL, request: IncomingMessage, response: ServerResponse) => void
    >
  > = {
    'GET /api/rows-get': (url, _request, response) => {
      const query = url.searchParams;
      const from = query.get('from') ?? '';
      const to = query.get('to');
      const requestedLimit = Number(query.get('limit') ?? MAX_ROWS_PER_ANSWER);
      const limit = Math.min(MAX_ROWS_PER_ANSWER, requestedLimit);
      const rows = state
        .rows(query.get('table') ?? '', query.get('part') ?? '')
        .filter(({key}) => key >= from && (to === null || key < to));
      sendJson(response, 200, {
        rows: rows.slice(0, limit),
        truncated: rows.length > limit,
        ver: state.version,
        now_ms: Math.round(performance.now()),
      });
    },
    'POST /api/rows-tx': (_url, request, response) => {
      void readJson(request).then(body => {
        const ver = state.transact(body as Transaction);
        if (ver === undefined) sendJson(response, 412, {rows: []});
        else sendJson(response, 200, {ver, now_ms: 0});
      });
    },
    'GET /api/rows-feed': (url, request, response) => {
      const table = url.searchParams.get('table') ?? '';
      const after = Number(url.searchParams.get('after') ?? 0);
      const endMs =
        performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
      const respond = () => {
        if (response.headersSent || request.socket.destroyed) return;
        const rows = state.changes(table, after);
        const remainingMs = endMs - performance.now();
        if (!rows) {
          sendJson(response, 410, {});
        } else if (rows.length > 0 || remainingMs <= 0) {
          sendJson(response, 200, {rows, ver: state.version, now_ms: 0});
        } else {
          const timer = setTimeout(respond, remainingMs + 1);
          state.onNextTransaction(() => {
            clearTimeout(timer);
            respond();
          });
        }
      };
      respond();
    },
  };
  const handlersByCall = new Map(Object.entries(handlers));
  /** The era of a response is that of the time at which it is sent. */
  const setEraWhenSent = (response: ServerResponse) => {
    const writeHead = response.writeHead.bind(response);
    response.writeHead = ((status: number, headers?: OutgoingHttpHeaders) =>
      writeHead(status, {
        ...headers,
        'store-era': String(state.era),
      })) as typeof response.writeHead;
  };
  return startListener((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const handler = handlersByCall.get(`${request.method} ${url.pathname}`);
    setEraWhenSent(response);
    if (handler) handler(url, request, response);
    else response.writeHead(404).end();
  });
}
