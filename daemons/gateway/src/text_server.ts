import {createServer, type Server, type ServerResponse} from 'node:http';
import type {ListenAddress} from './gateway_options.js';

interface TextAnswer {
  status: number;
  text: string;
}

/** What operators and the platform's balancer ask a gateway for. */
export interface TextServersOptions {
  /** Absent where nobody asks for it. */
  readinessAddress: ListenAddress | undefined;
  metricsAddress: ListenAddress | undefined;
  isReady: () => boolean;
  renderMetrics: () => Promise<string>;
}

/** Starts the servers for readiness and metrics; rejects if one cannot listen. */
export async function startTextServers(
  options: TextServersOptions,
): Promise<Server[]> {
  const {readinessAddress, metricsAddress, isReady, renderMetrics} = options;
  const servers: Server[] = [];
  if (readinessAddress) {
    servers.push(
      await startTextServer(readinessAddress, () =>
        isReady()
          ? {status: 200, text: 'ready\n'}
          : {status: 503, text: 'not ready\n'},
      ),
    );
  }
  if (metricsAddress) {
    servers.push(
      await startTextServer(metricsAddress, async () => ({
        status: 200,
        text: await renderMetrics(),
      })),
    );
  }
  return servers;
}

function startTextServer(
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
