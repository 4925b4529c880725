import {createServer, type Server} from 'node:http';
import type {ListenAddress} from './gateway_options.js';

/** An answer to every request. */
export interface TextAnswer {
  status: number;
  text: string;
}

/** Starts a server that gives one kind of answer, such as readiness; rejects if it cannot listen. */
export function startTextServer(
  {host, port}: ListenAddress,
  render: () => TextAnswer,
): Promise<Server> {
  const server = createServer((_request, response) => {
    const {status, text} = render();
    response.writeHead(status, {
      'Content-Type': 'text/plain; charset=utf-8',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => resolve(server));
  });
}
