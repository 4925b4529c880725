import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How a listener responds to requests. */
export type ListenerMode =
  /** Requests are handled normally. */
  | 'up'
  /** Every request is rejected with status 503 and not handled. */
  | 'busy'
  /** The connection is reset and the request is not handled. */
  | 'reset'
  /** Requests are neither handled nor answered. */
  | 'silent'
  /** Requests are handled, but the connection is closed before the response. */
  | 'answersLost';

/** An HTTP listener of a stand-in. */
export interface StandInListener {
  readonly port: number;
  /** `127.0.0.1:port`. */
  readonly address: string;
  mode: ListenerMode;
  /** Number of requests received, in any mode. */
  requestCount: number;
  /** Returns the number of requests whose path ends with a name, in any mode. */
  calls(name: string): number;
  close(): Promise<void>;
}

/** Starts an HTTP listener on a free port of the loopback interface. */
export async function startListener(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<StandInListener> {
  const callsByName = new Map<string, number>();
  const server: Server = createServer((request, response) => {
    listener.requestCount++;
    const [path] = (request.url ?? '').split('?');
    const name = path.slice(path.lastIndexOf('/') + 1);
    callsByName.set(name, (callsByName.get(name) ?? 0) + 1);
    if (listener.mode === 'reset') request.socket.resetAndDestroy();
    else if (listener.mode === 'busy') response.writeHead(503).end();
    else if (listener.mode === 'answersLost') dropResponse(request, response);
    else if (listener.mode === 'up') handle(request, response);
  });
  const dropResponse = (request: IncomingMessage, response: ServerResponse) => {
    response.end = () => {
      request.socket.destroy();
      return response;
    };
    handle(request, response);
  };
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const listener: StandInListener = {
    port,
    address: `127.0.0.1:${port}`,
    mode: 'up',
    requestCount: 0,
    calls: name => callsByName.get(name) ?? 0,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return listener;
}

/** Reads the body of a request as JSON; an empty body gives null. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8') || 'null');
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
