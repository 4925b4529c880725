import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {sendEndlessResponse, type EndlessPart} from './endless_response.js';

/** Bytes that are written just before a reset beside data; the system takes them at once. */
const LAST_WRITE_BYTES = 32_768;

/** A request that an upstream received. */
export interface ReceivedRequest {
  requestId: string;
  method: string;
  url: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** Time by performance.now() at which it had arrived. */
  receivedAtMs: number;
  /** Whether the upstream processed the request. */
  wasProcessed: boolean;
  /** Whether the connection was closed before the response was complete. */
  wasAborted: boolean;
  /** Kind of the response; undefined until it was chosen. */
  behaviour?: UpstreamBehaviour['kind'];
  /** Time by performance.now() at which the response or its connection ended. */
  endedAtMs?: number;
}

/** How an upstream responds to a request. */
export type UpstreamBehaviour =
  | {kind: 'answer'; status?: number; body?: string; delayMs?: number}
  /** Answers 503 and states in a header that the request was not run. */
  | {kind: 'refuse'; delayMs?: number}
  /** Answers 421: the request was meant for another instance and was not run. */
  | {kind: 'misdirect'}
  /** Resets the connection without a response. */
  | {kind: 'reset'}
  /** Keeps the connection open without a response. */
  | {kind: 'silent'}
  /** Sends part of a body without a length, then resets the connection. */
  | {kind: 'resetUnframed'}
  /**
   * Sends part of a body without a length and resets the connection in the moment in which
   * it writes the last bytes, `resetAfterMs` after the others.
   */
  | {kind: 'resetBesideData'; bodyBytes: number; resetAfterMs?: number}
  /** Sends a body without a length and closes the connection at its end. */
  | {kind: 'unframed'; body: string}
  /**
   * Sends a response without a length, after `copyAfterMs` the same once more, and closes the
   * connection in order.
   */
  | {kind: 'unframedTwice'; body: string; copyAfterMs: number}
  /**
   * Sends a copy of the connection's previous response, if there is one, before its own; the
   * copy has neither id nor signature if `isCopyUnsigned`.
   */
  | {kind: 'afterCopy'; body: string; isCopyUnsigned?: boolean}
  /**
   * Streams events without a length or chunks and closes the connection in order,
   * after the last event or inside the one with the id `endsInside`; keeps it open if
   * `isHeldOpen`; resets it beside the last event if `isReset`.
   */
  | {
      kind: 'unframedStream';
      events: number;
      endsInside?: number;
      isHeldOpen?: boolean;
      isReset?: boolean;
    }
  /** Sends these bytes instead of a response, then closes the connection in order. */
  | {kind: 'raw'; bytes: Buffer}
  /** Closes the connection before the announced length is sent. */
  | {kind: 'truncate'}
  /** Sends the response of another request. */
  | {kind: 'crossed'}
  /** Sends a second, unsolicited response after its own. */
  | {kind: 'extra'}
  /**
   * Streams events. After the event with the id `breakAfter` part of the next
   * event is sent and the connection is reset; after the event with the id
   * `silentAfter` nothing more is sent.
   */
  | {
      kind: 'stream';
      events: number;
      gapMs?: number;
      breakAfter?: number;
      silentAfter?: number;
    }
  /** Sends bytes that never end in one part of the response, until the connection is closed. */
  | {kind: 'endless'; part: EndlessPart}
  /**
   * Starts a stream, then sends parts of events or comments now and then, but
   * no complete event.
   */
  | {kind: 'trickle'; text: string; events: number; everyMs: number}
  /**
   * Begins to write an event stream after `afterMs`, then ends with all its connections;
   * if `isUnframed`, without a length or chunks and after a complete event; if
   * `isUnanswered`, before it has written anything.
   */
  | {
      kind: 'crash';
      afterMs: number;
      isUnframed?: boolean;
      isUnanswered?: boolean;
    }
  /**
   * Streams events of `eventBytes` each, as fast as they are read. It resets the connection
   * when the response has stayed unread for `cutOffUnreadMs`.
   */
  | {
      kind: 'bulkStream';
      events: number;
      eventBytes: number;
      cutOffUnreadMs?: number;
    }
  /** Streams events with these ids and ignores the `last-event-id` header. */
  | {kind: 'streamIds'; ids: readonly number[]; delayMs?: number};

/** A running stand-in for an upstream. */
export interface UpstreamStandIn {
  id: string;
  readonly address: string;
  /** Service that it registers for. */
  service: string;
  /** Version of its software, which it writes into the events of streams. */
  softwareVersion: string;
  /** Times by performance.now() at which it started and was told to leave; Infinity while it stays. */
  readonly startedAtMs: number;
  leftAtMs: number;
  readonly received: ReceivedRequest[];
  /** Number of connections accepted so far. */
  connections: number;
  /**
   * Idle time in milliseconds after which the upstream drops a connection: it
   * resets the connection at the next request, without reading the request.
   */
  idleResetMs: number;
  /** Headers that are added to every response, for instance `server-leaving`. */
  extraHeaders: Record<string, string>;
  /** Entries of the list of cached prompt parts. */
  cachedParts: Array<[string, string, number, string]>;
  /** Number of times that the list was read. */
  cacheListCalls: number;
  /** Number of endless responses whose connections are open. */
  openEndless: number;
  /** Time by performance.now() at which it crashed; undefined while it runs. */
  crashedAtMs: number | undefined;
  /** Request that made it crash. */
  crashedBy: ReceivedRequest | undefined;
  /** Called when it crashes. */
  onCrash: () => void;
  /** Responds to each request before its body has arrived, instead of by a behaviour. */
  respondEarly: ((request: IncomingMessage) => void) | undefined;
  /** Chooses the response to a request. */
  chooseBehaviour: (request: ReceivedRequest) => UpstreamBehaviour;
  /** Ends at once, with all connections; nothing listens at the address any more. */
  crash(cause: ReceivedRequest): void;
  close(): Promise<void>;
}

/** Starts an upstream that by default answers every request immediately; any port if absent. */
export async function startUpstreamStandIn(
  id: string,
  listenPort = 0,
): Promise<UpstreamStandIn> {
  const received: ReceivedRequest[] = [];
  const idleSinceMs = new WeakMap<object, number>();
  const server: Server = createServer((request, response) => {
    const {socket} = request;
    const nowMs = performance.now();
    const idleMs = nowMs - (idleSinceMs.get(socket) ?? nowMs);
    if (idleMs >= upstream.idleResetMs) {
      socket.resetAndDestroy();
      return;
    }
    if (request.url === '/api/kv-list') {
      upstream.cacheListCalls++;
      response.end(
        JSON.stringify({epoch: 1, next: 1, held: upstream.cachedParts}),
      );
      return;
    }
    response.once('finish', () => idleSinceMs.set(socket, performance.now()));
    if (upstream.respondEarly) {
      upstream.respondEarly(request);
      return;
    }
    void readRequest(request).then(entry => {
      // Its sender ended within the body.
      if (!entry) return;
      received.push(entry);
      response.on('close', () => {
        entry.wasAborted = !response.writableFinished;
        entry.endedAtMs = performance.now();
      });
      respondWithBehaviour(upstream, entry, request, response);
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', () => upstream.connections++);
  await new Promise<void>(resolve =>
    server.listen(listenPort, '127.0.0.1', resolve),
  );
  const {port} = server.address() as AddressInfo;
  const upstream: UpstreamStandIn = {
    id,
    address: `127.0.0.1:${port}`,
    service: 'pool',
    softwareVersion: 'v1',
    startedAtMs: performance.now(),
    leftAtMs: Infinity,
    received,
    connections: 0,
    idleResetMs: Infinity,
    extraHeaders: {},
    cachedParts: [],
    cacheListCalls: 0,
    openEndless: 0,
    crashedAtMs: undefined,
    crashedBy: undefined,
    onCrash: () => undefined,
    respondEarly: undefined,
    chooseBehaviour: () => ({kind: 'answer'}),
    crash(cause) {
      if (upstream.crashedAtMs !== undefined) return;
      upstream.crashedBy = cause;
      upstream.crashedAtMs = performance.now();
      server.close();
      server.closeAllConnections();
      upstream.onCrash();
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return upstream;
}

/** Reads a request; undefined if its connection ends before its body. */
async function readRequest(
  request: IncomingMessage,
): Promise<ReceivedRequest | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return {
    requestId: String(request.headers['request-id']),
    receivedAtMs: performance.now(),
    method: request.method ?? '',
    url: request.url ?? '',
    headers: request.headers,
    body: Buffer.concat(chunks),
    wasProcessed: false,
    wasAborted: false,
  };
}

/** Copies of the last responses of kind `afterCopy`, by connection. */
const previousCopies = new WeakMap<Socket, string>();

type BehaviourHandlers = {
  [K in UpstreamBehaviour['kind']]: (
    behaviour: Extract<UpstreamBehaviour, {kind: K}>,
    call: {
      upstream: UpstreamStandIn;
      entry: ReceivedRequest;
      request: IncomingMessage;
      response: ServerResponse;
      baseHeaders: Record<string, string>;
    },
  ) => void;
};

const BEHAVIOUR_HANDLERS: BehaviourHandlers = {
  answer({status = 200, body = 'done', delayMs = 0}, {response, baseHeaders}) {
    setTimeout(() => {
      response.writeHead(status, {
        ...baseHeaders,
        'content-length': body.length,
      });
      response.end(body);
    }, delayMs);
  },
  refuse({delayMs = 0}, {response, baseHeaders}) {
    setTimeout(
      () => response.writeHead(503, {...baseHeaders, 'not-run': '1'}).end(),
      delayMs,
    );
  },
  misdirect: (_behaviour, {response, baseHeaders}) =>
    void response.writeHead(421, {...baseHeaders, 'not-run': '1'}).end(),
  reset: (_behaviour, {request}) => void request.socket.resetAndDestroy(),
  silent: () => undefined,
  resetUnframed(_behaviour, {request, response, baseHeaders}) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, baseHeaders);
    response.write('half of the ans');
    setTimeout(() => request.socket.resetAndDestroy(), 30);
  },
  resetBesideData({bodyBytes, resetAfterMs}, {request: {socket}, baseHeaders}) {
    const lastBytes = Math.min(bodyBytes, LAST_WRITE_BYTES);
    const resetBesideLast = () => {
      socket.write(Buffer.alloc(lastBytes));
      socket.resetAndDestroy();
    };
    socket.write(renderHead(baseHeaders));
    socket.write(Buffer.alloc(bodyBytes - lastBytes));
    if (resetAfterMs === undefined) resetBesideLast();
    else setTimeout(resetBesideLast, resetAfterMs);
  },
  unframedTwice({body, copyAfterMs}, {request: {socket}, baseHeaders}) {
    const bytes = renderHead(baseHeaders) + body;
    socket.write(bytes);
    setTimeout(() => socket.end(bytes), copyAfterMs);
  },
  afterCopy({body, isCopyUnsigned}, {request: {socket}, baseHeaders}) {
    const framing = {'content-length': String(body.length)};
    socket.write(previousCopies.get(socket) ?? '');
    socket.write(renderHead({...baseHeaders, ...framing}) + body);
    const copyHeaders = isCopyUnsigned ? {} : baseHeaders;
    previousCopies.set(socket, renderHead({...copyHeaders, ...framing}) + body);
  },
  unframed({body}, {response, baseHeaders}) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, baseHeaders);
    response.end(body);
  },
  unframedStream(
    {events, endsInside = events, isHeldOpen, isReset},
    {request, response, baseHeaders, entry},
  ) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, {
      ...baseHeaders,
      'content-type': 'text/event-stream',
    });
    const first = Number(entry.headers['last-event-id'] ?? -1) + 1;
    for (let id = first; id < Math.min(events, endsInside); id++) {
      response.write(`id: ${id}\ndata: event ${id}\n\n`);
    }
    if (isReset) setImmediate(() => request.socket.resetAndDestroy());
    if (isHeldOpen || isReset) return;
    response.end(endsInside < events ? `id: ${endsInside}\ndata: ha` : '');
  },
  raw: ({bytes}, {request}) => void request.socket.end(bytes),
  truncate(_behaviour, {request, response, baseHeaders}) {
    response.writeHead(200, {...baseHeaders, 'content-length': 100});
    response.write('half');
    setTimeout(() => request.socket.destroy(), 30);
  },
  crossed(_behaviour, {response, baseHeaders}) {
    response.writeHead(200, {
      ...baseHeaders,
      'request-id': 'another',
      'content-length': 4,
    });
    response.end('oops');
  },
  extra(_behaviour, {request, response, baseHeaders}) {
    response.writeHead(200, {...baseHeaders, 'content-length': 4});
    response.end('done');
    setTimeout(() => {
      request.socket.write(
        'HTTP/1.1 200 OK\r\nrequest-id: another\r\nresponse-stamp: x\r\ncontent-length: 5\r\n\r\nextra',
      );
    }, 20);
  },
  crash(
    {afterMs, isUnframed = false, isUnanswered = false},
    {upstream, entry, response, baseHeaders},
  ) {
    setTimeout(() => {
      if (response.destroyed) return;
      if (isUnanswered) {
        upstream.crash(entry);
        return;
      }
      response.useChunkedEncodingByDefault = !isUnframed;
      response.writeHead(200, {
        ...baseHeaders,
        'content-type': 'text/event-stream',
      });
      response.write(
        isUnframed ? 'id: 0\ndata: event 0\n\n' : 'id: 0\ndata: ha',
      );
      setTimeout(() => upstream.crash(entry), 2);
    }, afterMs);
  },
  streamIds({ids, delayMs = 0}, {response, baseHeaders}) {
    response.writeHead(200, {
      ...baseHeaders,
      'content-type': 'text/event-stream',
    });
    const events = ids.map(id => `id: ${id}\ndata: event ${id}\n\n`);
    setTimeout(() => response.end(events.join('')), delayMs);
  },
  bulkStream(
    {events, eventBytes, cutOffUnreadMs},
    {request, response, baseHeaders, entry},
  ) {
    response.writeHead(200, {
      ...baseHeaders,
      'content-type': 'text/event-stream',
    });
    const text = 'x'.repeat(eventBytes);
    let id = Number(entry.headers['last-event-id'] ?? -1) + 1;
    const sendMore = () => {
      let canWrite = true;
      while (canWrite && id < events) {
        canWrite = response.write(`id: ${id}\ndata: ${text}\n\n`);
        id++;
      }
      if (canWrite) {
        response.end();
        return;
      }
      const timer =
        cutOffUnreadMs !== undefined &&
        setTimeout(() => request.socket.resetAndDestroy(), cutOffUnreadMs);
      response.once('drain', () => {
        if (timer) clearTimeout(timer);
        sendMore();
      });
    };
    sendMore();
  },
  endless({part}, {upstream, request, entry}) {
    upstream.openEndless++;
    request.socket.once('close', () => upstream.openEndless--);
    sendEndlessResponse(request.socket, part, entry.requestId);
  },
  trickle({text, events, everyMs}, {request, response, baseHeaders}) {
    response.writeHead(200, {
      ...baseHeaders,
      'content-type': 'text/event-stream',
    });
    for (let id = 0; id < events; id++) {
      response.write(`id: ${id}\ndata: event ${id}\n\n`);
    }
    const timer = setInterval(() => response.write(text), everyMs);
    request.socket.once('close', () => clearInterval(timer));
  },
  stream(behaviour, {upstream, request, response, baseHeaders, entry}) {
    const {events, gapMs = 5, breakAfter, silentAfter} = behaviour;
    response.writeHead(200, {
      ...baseHeaders,
      'content-type': 'text/event-stream',
    });
    let id = Number(entry.headers['last-event-id'] ?? -1) + 1;
    const sendNextEvent = () => {
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
        const {softwareVersion} = upstream;
        response.write(
          `event: ${softwareVersion}\nid: ${id}\ndata: event ${id}\n\n`,
        );
        id++;
        setTimeout(sendNextEvent, gapMs);
      }
    };
    sendNextEvent();
  },
};

/** Renders the head of a successful response. */
function renderHead(headers: Record<string, string>): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`;
}

function respondWithBehaviour(
  upstream: UpstreamStandIn,
  entry: ReceivedRequest,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const behaviour = upstream.chooseBehaviour(entry);
  entry.behaviour = behaviour.kind;
  entry.wasProcessed =
    behaviour.kind !== 'refuse' && behaviour.kind !== 'misdirect';
  const baseHeaders = {
    'request-id': entry.requestId,
    'response-stamp': `${upstream.id}.${entry.requestId}`,
    ...upstream.extraHeaders,
  };
  const handler = BEHAVIOUR_HANDLERS[behaviour.kind] as (
    behaviour: UpstreamBehaviour,
    call: unknown,
  ) => void;
  handler(behaviour, {upstream, entry, request, response, baseHeaders});
}
