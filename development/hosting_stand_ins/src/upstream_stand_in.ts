import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** A request as an upstream got it. */
export interface ReceivedRequest {
  requestId: string;
  method: string;
  url: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** Whether the upstream began to work on it. */
  hasRun: boolean;
  /** Whether its connection was closed before the answer was whole. */
  wasCut: boolean;
}

/** What an upstream does with a request. */
export type UpstreamBehaviour =
  | {kind: 'answer'; status?: number; body?: string; delayMs?: number}
  /** Says that the request has not run. */
  | {kind: 'refuse'}
  /** Is not the instance that the request is meant for. */
  | {kind: 'misdirect'}
  /** Resets the connection without an answer. */
  | {kind: 'reset'}
  /** Never answers. */
  | {kind: 'silent'}
  /** Answers without a length and resets the connection within the answer. */
  | {kind: 'resetUnframed'}
  /** Answers without a length and closes the connection. */
  | {kind: 'unframed'; body: string}
  /** Announces more bytes than it sends. */
  | {kind: 'truncate'}
  /** Sends another request's answer. */
  | {kind: 'crossed'}
  /** Sends a second answer after its own. */
  | {kind: 'extra'}
  /** Streams events; the last one that it sends may come before the end. */
  | {
      kind: 'stream';
      events: number;
      gapMs?: number;
      breakAfter?: number;
      silentAfter?: number;
    }
  /** Streams events with these ids, whatever was asked for. */
  | {kind: 'streamIds'; ids: readonly number[]; delayMs?: number};

/** An upstream of the system. */
export interface UpstreamStandIn {
  id: string;
  readonly address: string;
  readonly received: ReceivedRequest[];
  connections: number;
  /** Rest after which a connection is forgotten: its next request is reset unread. */
  forgetsAfterMs: number;
  /** Decides what happens to a request. */
  behave: (request: ReceivedRequest) => UpstreamBehaviour;
  close(): Promise<void>;
}

/** Starts an upstream that answers each request at once. */
export async function startUpstreamStandIn(
  id: string,
): Promise<UpstreamStandIn> {
  const received: ReceivedRequest[] = [];
  const restingSinceMs = new WeakMap<object, number>();
  const server: Server = createServer((request, response) => {
    const {socket} = request;
    const nowMs = performance.now();
    const restedMs = nowMs - (restingSinceMs.get(socket) ?? nowMs);
    if (restedMs >= upstream.forgetsAfterMs) {
      socket.resetAndDestroy();
      return;
    }
    response.once('finish', () =>
      restingSinceMs.set(socket, performance.now()),
    );
    void receive(request).then(entry => {
      received.push(entry);
      response.on('close', () => {
        entry.wasCut = !response.writableFinished;
      });
      perform(upstream, entry, request, response);
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', () => upstream.connections++);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const upstream: UpstreamStandIn = {
    id,
    address: `127.0.0.1:${port}`,
    received,
    connections: 0,
    forgetsAfterMs: Infinity,
    behave: () => ({kind: 'answer'}),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return upstream;
}

async function receive(request: IncomingMessage): Promise<ReceivedRequest> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return {
    requestId: String(request.headers['request-id']),
    method: request.method ?? '',
    url: request.url ?? '',
    headers: request.headers,
    body: Buffer.concat(chunks),
    hasRun: false,
    wasCut: false,
  };
}

type Performers = {
  [K in UpstreamBehaviour['kind']]: (
    behaviour: Extract<UpstreamBehaviour, {kind: K}>,
    call: {
      upstream: UpstreamStandIn;
      entry: ReceivedRequest;
      request: IncomingMessage;
      response: ServerResponse;
      stamp: Record<string, string>;
    },
  ) => void;
};

const PERFORMERS: Performers = {
  answer({status = 200, body = 'done', delayMs = 0}, {response, stamp}) {
    setTimeout(() => {
      response.writeHead(status, {...stamp, 'content-length': body.length});
      response.end(body);
    }, delayMs);
  },
  refuse: (_behaviour, {response, stamp}) =>
    void response.writeHead(503, {...stamp, 'not-run': '1'}).end(),
  misdirect: (_behaviour, {response, stamp}) =>
    void response.writeHead(421, {...stamp, 'not-run': '1'}).end(),
  reset: (_behaviour, {request}) => void request.socket.resetAndDestroy(),
  silent: () => undefined,
  resetUnframed(_behaviour, {request, response, stamp}) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, stamp);
    response.write('half of the ans');
    setTimeout(() => request.socket.resetAndDestroy(), 30);
  },
  unframed({body}, {response, stamp}) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, stamp);
    response.end(body);
  },
  truncate(_behaviour, {request, response, stamp}) {
    response.writeHead(200, {...stamp, 'content-length': 100});
    response.write('half');
    setTimeout(() => request.socket.destroy(), 30);
  },
  crossed(_behaviour, {response, stamp}) {
    response.writeHead(200, {
      ...stamp,
      'request-id': 'another',
      'content-length': 4,
    });
    response.end('oops');
  },
  extra(_behaviour, {request, response, stamp}) {
    response.writeHead(200, {...stamp, 'content-length': 4});
    response.end('done');
    setTimeout(() => {
      request.socket.write(
        'HTTP/1.1 200 OK\r\nrequest-id: another\r\nresponse-stamp: x\r\ncontent-length: 5\r\n\r\nextra',
      );
    }, 20);
  },
  streamIds({ids, delayMs = 0}, {response, stamp}) {
    response.writeHead(200, {...stamp, 'content-type': 'text/event-stream'});
    const events = ids.map(id => `id: ${id}\ndata: event ${id}\n\n`);
    setTimeout(() => response.end(events.join('')), delayMs);
  },
  stream(behaviour, {request, response, stamp, entry}) {
    const {events, gapMs = 5, breakAfter, silentAfter} = behaviour;
    response.writeHead(200, {...stamp, 'content-type': 'text/event-stream'});
    let id = Number(entry.headers['last-event-id'] ?? -1) + 1;
    const next = () => {
      if (
        response.destroyed ||
        (silentAfter !== undefined && id > silentAfter)
      ) {
        return;
      }
      if (breakAfter !== undefined && id > breakAfter) {
        response.write(`id: ${id}\ndata: ha`);
        setTimeout(() => request.socket.resetAndDestroy(), 10);
      } else if (id >= events) {
        response.end();
      } else {
        response.write(`id: ${id}\ndata: event ${id}\n\n`);
        id++;
        setTimeout(next, gapMs);
      }
    };
    next();
  },
};

function perform(
  upstream: UpstreamStandIn,
  entry: ReceivedRequest,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const behaviour = upstream.behave(entry);
  entry.hasRun = behaviour.kind !== 'refuse' && behaviour.kind !== 'misdirect';
  const stamp = {
    'request-id': entry.requestId,
    'response-stamp': `${upstream.id}.${entry.requestId}`,
  };
  const performer = PERFORMERS[behaviour.kind] as (
    behaviour: UpstreamBehaviour,
    call: unknown,
  ) => void;
  performer(behaviour, {upstream, entry, request, response, stamp});
}
