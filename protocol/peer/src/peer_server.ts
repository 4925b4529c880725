import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {LogPosition} from '@sardinestile/shared_feed';
import {
  CONFIG_PATH,
  FLEET_HEADER,
  relayedUsageSchema,
  UPSTREAMS_PATH,
  USAGE_PATH,
  type ConfigProof,
  type RelayedUsage,
  type UpstreamCopy,
} from './peer_messages.js';

/** Largest message that is read, in bytes. */
const MAX_MESSAGE_BYTES = 262_144;

/** Answers questions of other gateways. */
export interface PeerServerOptions {
  host: string;
  port: number;
  /** Fleet of this gateway; questions of others are refused. */
  fleetId: () => string | undefined;
  /** What this gateway can prove; undefined if nothing. */
  proveConfig: (haveVersion: number) => ConfigProof | undefined;
  /** What this gateway read of the upstreams; undefined where it cannot vouch for it. */
  copyUpstreams: (
    since: LogPosition | undefined,
    waitMs: number,
  ) => Promise<UpstreamCopy | undefined>;
  /** Stores counts for another gateway; rejects if the store is away. */
  storeUsage: (usage: RelayedUsage) => Promise<void>;
}

/** A server for other gateways. */
export interface PeerServer {
  close(): void;
}

/** Starts to answer; rejects if the address is taken. */
export async function startPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const handlers: Readonly<
    Record<
      string,
      (url: URL, request: IncomingMessage) => Promise<object | undefined>
    >
  > = {
    async [`GET ${CONFIG_PATH}`](url) {
      return options.proveConfig(Number(url.searchParams.get('have') ?? 0));
    },
    async [`GET ${UPSTREAMS_PATH}`]({searchParams}) {
      const waitMs = Number(searchParams.get('waitMs'));
      return options.copyUpstreams(readPosition(searchParams), waitMs);
    },
    async [`POST ${USAGE_PATH}`](_url, request) {
      const usage = relayedUsageSchema.parse(await readJson(request));
      await options.storeUsage(usage);
      return {};
    },
  };
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://peer');
    const handler = handlers[`${request.method} ${url.pathname}`];
    const isOurs =
      options.fleetId() !== undefined &&
      request.headers[FLEET_HEADER] === options.fleetId();
    if (!handler || !isOurs) {
      send(response, 404, {});
      return;
    }
    handler(url, request).then(
      body => send(response, body ? 200 : 503, body ?? {}),
      (error: Error) => send(response, 503, {reason: error.message}),
    );
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: options.host, port: options.port}, () => resolve());
  });
  return {
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Where the asker stands; undefined if it knows nothing. */
function readPosition(query: URLSearchParams): LogPosition | undefined {
  const version = query.get('version');
  if (version === null) return undefined;
  const epoch = query.get('epoch');
  const position = Number(query.get('position'));
  return {
    version: Number(version),
    place: epoch === null ? undefined : {epoch, position},
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
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function send(response: ServerResponse, status: number, body: object): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}
