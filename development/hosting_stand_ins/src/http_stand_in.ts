import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How a listener answers. */
export type ListenerMode =
  | 'up'
  /** Every call is refused with 503; nothing is done. */
  | 'busy'
  /** Every connection is reset; nothing is done. */
  | 'reset'
  /** Calls get no answer; nothing is done. */
  | 'silent'
  /** Calls are carried out, and their answers are lost. */
  | 'answersLost';

/** A listener of a stand-in. */
export interface StandInListener {
  readonly port: number;
  /** `127.0.0.1:port`. */
  readonly address: string;
  mode: ListenerMode;
  calls: number;
  close(): Promise<void>;
}

/** Starts a listener on the loopback interface. */
export async function startListener(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<StandInListener> {
  const server: Server = createServer((request, response) => {
    listener.calls++;
    if (listener.mode === 'reset') request.socket.resetAndDestroy();
    else if (listener.mode === 'busy') response.writeHead(503).end();
    else if (listener.mode === 'answersLost') loseAnswer(request, response);
    else if (listener.mode === 'up') handle(request, response);
  });
  const loseAnswer = (request: IncomingMessage, response: ServerResponse) => {
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
    calls: 0,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return listener;
}

/** Reads a body as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8') || 'null');
}

/** Answers with JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
