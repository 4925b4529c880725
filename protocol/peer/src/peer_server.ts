import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createBoundedServer,
  drainServer,
  manageConnections,
  type AddressOpener,
  type InputBoundary,
} from '@sardinestile/connections';
import type {LogPosition} from '@sardinestile/shared_feed';
import {parseJson} from '@sardinestile/types';
import {
  CACHED_PARTS_PATH,
  cachedPartsSchema,
  CONFIG_PATH,
  FLEET_HEADER,
  GROUP_USAGE_PATH,
  groupUsageSchema,
  relayedUsageSchema,
  STREAM_VERSION_PATH,
  UPSTREAMS_PATH,
  USAGE_PATH,
  type CachedParts,
  type ConfirmedConfig,
  type GroupUsage,
  type RelayedUsage,
  type StreamVersion,
  type UpstreamChanges,
} from './peer_messages.js';

/** Connections of other gateways, which keep few each; more are closed unread. */
const MAX_CONNECTIONS = 512;

/** Largest size of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 4_096;

/** Limit of a request body. */
const MAX_MESSAGE_BYTES = 1_048_576;

/** Most values in a request body. */
const MAX_MESSAGE_VALUES = 100_000;

/** Base of the targets of requests, which are paths. */
const BASE_URL = 'http://peer';

/** Time within which a closing server answers its open requests, in milliseconds. */
const CLOSE_LIMIT_MS = 150;

/** Options for createPeerServer. */
export interface PeerServerOptions {
  host: string;
  port: number;
  /** Reports failures; logs them by default. */
  boundary?: InputBoundary;
  /** Fleet of this gateway; requests from other fleets get status 404. */
  fleetId: () => string | undefined;
  /**
   * Returns the configuration that this gateway last confirmed, after waiting
   * up to `waitMs` for another version or state of a zone; undefined if there is none.
   */
  getConfirmedConfig: (
    knownVersion: number,
    waitMs: number,
  ) => Promise<ConfirmedConfig | undefined>;
  /**
   * Returns changes to the upstreams; undefined if this gateway's list may be
   * out of date.
   */
  getUpstreamChanges: (
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamChanges | undefined>;
  /** Returns the service and version of a stream; undefined if this gateway does not remember it. */
  getStreamVersion: (requestId: string) => StreamVersion | undefined;
  /** Returns the cached prompt parts; undefined if this gateway knows too little. */
  getCachedParts: () => CachedParts | undefined;
  /** Takes over cached prompt parts that another gateway has read. */
  applyCachedParts: (cached: CachedParts) => void;
  /** Takes over what organisations were given in another group. */
  applyGroupUsage: (usage: GroupUsage) => void;
  /** Stores usage counts for another gateway; rejects if the store is unavailable. */
  storeUsage: (usage: RelayedUsage) => Promise<void>;
}

/** A running peer server. */
export interface PeerServer {
  /** Begins to serve other gateways; rejects if the address does not become available. */
  open(addresses: AddressOpener): Promise<void>;
  /**
   * Ends long polls with status 503, refuses new requests with the same, and
   * closes all connections once the other requests are answered or a short
   * limit has passed.
   */
  close(): Promise<void>;
}

/** Returns the body of the response; undefined if this gateway knows too little. */
type PeerRequestHandler = (
  url: URL,
  request: IncomingMessage,
) => Promise<object | undefined>;

/** Creates the HTTP server for other gateways, which serves none until it is opened. */
export function createPeerServer(options: PeerServerOptions): PeerServer {
  const handlers: Readonly<Record<string, PeerRequestHandler>> = {
    async [`GET ${CONFIG_PATH}`]({searchParams}) {
      return options.getConfirmedConfig(
        Number(searchParams.get('have') ?? 0),
        Number(searchParams.get('waitMs') ?? 0),
      );
    },
    async [`GET ${UPSTREAMS_PATH}`]({searchParams}) {
      const waitMs = Number(searchParams.get('waitMs'));
      return options.getUpstreamChanges(readPosition(searchParams), waitMs);
    },
    async [`GET ${CACHED_PARTS_PATH}`]() {
      return options.getCachedParts();
    },
    async [`GET ${STREAM_VERSION_PATH}`]({searchParams}) {
      return options.getStreamVersion(searchParams.get('request') ?? '');
    },
    async [`POST ${CACHED_PARTS_PATH}`](_url, request) {
      options.applyCachedParts(
        cachedPartsSchema.parse(await readJson(request)),
      );
      return {};
    },
    async [`POST ${GROUP_USAGE_PATH}`](_url, request) {
      options.applyGroupUsage(groupUsageSchema.parse(await readJson(request)));
      return {};
    },
    async [`POST ${USAGE_PATH}`](_url, request) {
      const usage = relayedUsageSchema.parse(await readJson(request));
      await options.storeUsage(usage);
      return {};
    },
  };
  const handlersByCall = new Map(Object.entries(handlers));
  let isClosing = false;
  const server = createBoundedServer({
    maxConnections: MAX_CONNECTIONS,
    maxHeaderBytes: MAX_HEADER_BYTES,
  });
  const connections = manageConnections(server, {
    async handler(request, response) {
      if (isClosing) {
        // A connection that closes with an unread body loses the response.
        request.resume().once('end', () => refuseAtClose(response));
        return;
      }
      const target = request.url ?? '/';
      const url = URL.canParse(target, BASE_URL)
        ? new URL(target, BASE_URL)
        : undefined;
      const handle =
        url && handlersByCall.get(`${request.method} ${url.pathname}`);
      const isSameFleet =
        options.fleetId() !== undefined &&
        request.headers[FLEET_HEADER] === options.fleetId();
      if (!handle || !isSameFleet) {
        sendJson(response, 404, {});
        return;
      }
      await handle(url, request).then(
        body => sendJson(response, body ? 200 : 503, body ?? {}),
        (error: Error) => sendJson(response, 503, {reason: error.message}),
      );
    },
    boundary: options.boundary,
    input: 'peerRequest',
  });
  return {
    open: addresses =>
      addresses.listen('peers', server, {
        host: options.host,
        port: options.port,
      }),
    async close() {
      isClosing = true;
      const closed = drainServer(server, connections, CLOSE_LIMIT_MS);
      for (const response of connections.openResponses()) {
        if (response.req.method === 'GET') refuseAtClose(response);
      }
      await closed;
    },
  };
}

function refuseAtClose(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  sendJson(response, 503, {reason: 'this gateway stops'});
}

/** Reads the requester's position in the change log; undefined if it has none yet. */
function readPosition(query: URLSearchParams): LogPosition | undefined {
  const version = query.get('version');
  if (version === null) return undefined;
  const epoch = query.get('epoch');
  const position = Number(query.get('position'));
  return {
    version: Number(version),
    cursor: epoch === null ? undefined : {epoch, position},
  };
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_MESSAGE_BYTES) throw new Error('the message is too large');
    chunks.push(chunk as Buffer);
  }
  return parseJson(Buffer.concat(chunks).toString('utf8'), MAX_MESSAGE_VALUES);
}

/** Sends a response unless one was sent already. */
function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  if (response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}
