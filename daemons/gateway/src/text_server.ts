import {createServer, type Server, type ServerResponse} from 'node:http';
import type {ListenAddress} from './gateway_options.js';

/** An answer to every request. */
export interface TextAnswer {
  status: number;
  text: string;
}

/** Starts a server that gives one kind of answer, such as readiness; rejects if it cannot listen. */
export function startTextServer(
  {host, port}: ListenAddress,
  render: () => TextAnswer | Promise<TextAnswer>,
): Promise<Server> {
  const answer = async (response: ServerResponse) => {
    const {status, text} = await render();
    response.writeHead(status, {
      'Content-Type': 'text/plain; charset=utf-8',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  };
  const server = createServer(
    (_request, response) =>
      void answer(response).catch((error: Error) => response.destroy(error)),
  );
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => resolve(server));
  });
}
