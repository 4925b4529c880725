import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  readJson,
  sendJson,
  startListener,
  type StandInListener,
} from './http_stand_in.js';
import type {StoreState, Transaction} from './store_state.js';

/** Most rows of one answer. */
const MAX_ROWS = 500;

/** Starts one more listener of a store; each has faults of its own. */
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
      const asked = Number(query.get('limit') ?? MAX_ROWS);
      const limit = Math.min(MAX_ROWS, asked);
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
      const answer = () => {
        if (response.headersSent || request.socket.destroyed) return;
        const rows = state.changes(table, after);
        const leftMs = endMs - performance.now();
        if (!rows) {
          sendJson(response, 410, {});
        } else if (rows.length > 0 || leftMs <= 0) {
          sendJson(response, 200, {rows, ver: state.version, now_ms: 0});
        } else {
          const timer = setTimeout(answer, leftMs + 1);
          state.onceChanged(() => {
            clearTimeout(timer);
            answer();
          });
        }
      };
      answer();
    },
  };
  return startListener((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const handler = handlers[`${request.method} ${url.pathname}`];
    if (handler) handler(url, request, response);
    else response.writeHead(404).end();
  });
}
