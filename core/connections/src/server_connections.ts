import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionEnd} from './connection_end.js';
import {createConnection, type Connection} from './connection.js';
import {isInputError, refuseInput} from './refuse_input.js';
import {failRequest} from './fail_request.js';
import {processPacer, type InputPacer} from './input_pacer.js';
import {paceInput} from './pace_input.js';
import {
  createInputBoundary,
  type InputBoundary,
  type InputName,
} from './input_boundary.js';

/** Serves a request; the promise rejects, or the call throws, if that fails. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Options for `manageConnections`. */
export interface ServerConnectionsOptions {
  /**
   * Serves a request whose connection takes its response. If it fails, the request is
   * answered with status 500, or broken off if its response had begun.
   */
  handler: RequestHandler;
  /** Reports failures of handlers and of the server; logs them by default. */
  boundary?: InputBoundary;
  /** What the server receives; `request` by default. */
  input?: InputName;
  /** Called when a connection has closed. */
  onEnded?: (end: ConnectionEnd) => void;
  /**
   * Called for a request that is not served, as it arrived on a connection whose end had
   * been announced to its peer.
   */
  onUnanswerable?: (request: IncomingMessage) => void;
  /**
   * Called for each request that a connection holds; what it returns is called once its
   * response was sent or its connection has ended, whichever comes first.
   */
  onTaken?: (request: IncomingMessage) => () => void;
  /** Whether there is enough memory for requests to wait behind others; there is if absent. */
  mayWait?: () => boolean;
  /** Decides when input is parsed; the pacer of the process by default. */
  pacer?: InputPacer;
}

/** A request whose headers have not arrived whole. */
export interface PartialRequest {
  /** Bytes that have arrived. */
  bytes: number;
  /** Closes its connection. */
  destroy(): void;
}

/**
 * The connections of an HTTP server. They alone decide when one of them ends: after all
 * requests taken on it were answered and the responses were sent, or by `destroyAll`.
 */
export interface ServerConnections {
  /** Responses to taken requests that the operating system has not taken whole. */
  openResponses(): ServerResponse[];
  /**
   * Whether all input was parsed and every response sent, and every peer whose connection ends
   * has closed it or had its time to read.
   */
  readonly isSettled: boolean;
  /** Whether input that may hold requests waits to be parsed. */
  readonly hasWaitingInput: boolean;
  /** Requests whose headers have not arrived whole, on connections without another one. */
  partialRequests(): PartialRequest[];
  /** Time by performance.now() at which the last request was taken or response sent. */
  readonly lastUsedAtMs: number;
  /** Ends each connection after its next response from now on. */
  disableKeepAlive(): void;
  /** Ends each connection that is open now after its next response. */
  expireOpen(): void;
  /**
   * Ends the connections on which nothing is open or arriving. A request that crosses the
   * end is left unread, so that its sender can send it again elsewhere.
   */
  endIdle(): void;
  /** States that all connections have to end now; `ConnectionEnd.reason` then says so. */
  markDrainLimit(): void;
  /** Ends all connections at once, with what is on them. */
  destroyAll(): void;
}

/**
 * Options for the HTTP servers whose connections are managed: a request without a host is
 * then refused in the order of its connection.
 */
export const MANAGED_SERVER_OPTIONS = {requireHostHeader: false} as const;

/**
 * Takes over the connections that a server accepts from now on, and their requests. The
 * requests of a connection are served one after another.
 */
export function manageConnections(
  server: Server,
  options: ServerConnectionsOptions,
): ServerConnections {
  const {
    handler,
    onEnded = () => undefined,
    onUnanswerable = () => undefined,
    onTaken = () => () => undefined,
    mayWait = () => true,
    input = 'request',
    boundary = createInputBoundary(),
    pacer = processPacer,
  } = options;
  const serveRequest = boundary.guard(input, handler, failRequest);
  const recordEnd = boundary.guard(input, onEnded);
  const connections = new Map<Socket, Connection>();
  let isKeepAliveDisabled = false;
  let lastUsedAtMs = performance.now();
  const take = (
    request: IncomingMessage,
    response: ServerResponse,
    serve: RequestListener,
  ) => {
    lastUsedAtMs = performance.now();
    response.once('finish', () => (lastUsedAtMs = performance.now()));
    response.on('error', error => boundary.report({input, error}));
    connections.get(request.socket)?.receive(request, response, {
      serve,
      announcesEnd: isKeepAliveDisabled,
      mayWait: mayWait(),
    });
  };
  const receive = boundary.guard(input, take, failRequest);
  server.on('connection', (socket: Socket) => {
    const connection = createConnection(socket, {onTaken, onUnanswerable});
    paceInput(socket, pacer, () => connection.shed());
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      recordEnd(connection.close());
    });
  });
  server.on('request', (request, response) =>
    receive(
      request,
      response,
      isHostMissing(request) ? refuseHost : serveRequest,
    ),
  );
  // node:http would answer without regard to the requests that wait before it.
  server.on('checkExpectation', (request, response) =>
    receive(request, response, refuseExpectation),
  );
  const handleInputError = (error: Error, socket: Socket) => {
    const connection = connections.get(socket);
    if (isInputError(error) && connection?.giveUpInput()) return;
    refuseInput(error, socket, connection);
  };
  const destroy = (_error: Error, socket: Socket) => void socket.destroy();
  const receiveError = boundary.guard(input, handleInputError, destroy);
  server.on('clientError', (error, socket) =>
    receiveError(error, socket as Socket),
  );
  server.on('error', error => {
    // Until the server listens, its errors concern whoever starts it.
    if (server.listening) boundary.report({input, error});
  });
  const all = () => [...connections.values()];
  return {
    openResponses: () => all().flatMap(({openResponses}) => openResponses()),
    get isSettled() {
      return all().every(({isSettled}) => isSettled);
    },
    get hasWaitingInput() {
      return all().some(connection => connection.hasWaitingInput);
    },
    partialRequests: () =>
      all()
        .map(({partialRequestBytes: bytes, shed}) => ({bytes, destroy: shed}))
        .filter(({bytes}) => bytes > 0),
    get lastUsedAtMs() {
      return lastUsedAtMs;
    },
    disableKeepAlive() {
      isKeepAliveDisabled = true;
      all().forEach(connection => connection.expire());
    },
    expireOpen: () => all().forEach(connection => connection.expire()),
    endIdle: () => all().forEach(connection => connection.endIfIdle()),
    markDrainLimit: () =>
      all().forEach(connection => connection.markDrainLimit()),
    destroyAll: () => all().forEach(connection => connection.destroy()),
  };
}

const refuseHost: RequestListener = (_request, response) =>
  refuseAndClose(response, 400);

const refuseExpectation: RequestListener = (_request, response) =>
  refuseAndClose(response, 417);

function isHostMissing({httpVersion, headers}: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined;
}

function refuseAndClose(response: ServerResponse, status: number): void {
  response.shouldKeepAlive = false;
  response.writeHead(status, {'Content-Length': 0});
  response.end();
}
