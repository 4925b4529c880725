import type {IncomingMessage} from 'node:http';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  looksWhole,
  ROUTE_PATHS,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Size of a request's body, which the systems' buffers do not hold. */
const UPLOAD_BYTES = 12 * 1_048_576;

/** Time after the last byte at which the connection is reset, in milliseconds. */
const RESET_DELAYS_MS = [0, 60];

/** Beginnings of responses, with the headers that frame them. */
const FRAMINGS = {
  'without a length': {fields: [], part: (body: string) => body},
  'with a length': {
    fields: ['content-length: 40000'],
    part: (body: string) => body,
  },
  'in chunks': {
    fields: ['transfer-encoding: chunked'],
    part: (body: string) => `${body.length.toString(16)}\r\n${body}\r\n`,
  },
} as const;

const BODIES = {
  once: 'x'.repeat(28_000),
  idempotent: 'x'.repeat(28_000),
  stream: 'id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\n',
  resumable: 'id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\n',
} as const;

describe('responses that begin before the request was read', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  let calls = 0;
  before(async () => {
    cluster = await createGatewayCluster(2);
    cluster.configure(({limits}) => {
      limits.max_body_bytes = 2 * UPLOAD_BYTES;
    });
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  const respondEarly = (respond: (request: IncomingMessage) => void) => {
    for (const upstream of cluster.upstreams) {
      upstream.respondEarly = request => {
        request.pause();
        respond(request);
      };
    }
  };
  const renderHead = ({headers}: IncomingMessage, fields: readonly string[]) =>
    [
      'HTTP/1.1 200 OK',
      `request-id: ${String(headers['request-id'])}`,
      'response-stamp: stamp',
      ...fields,
      '',
      '',
    ].join('\r\n');
  const upload = (path: string) =>
    gateway.call({
      method: 'POST',
      path,
      headers: createKeyedHeaders(`early-${calls++}`),
      body: 'u'.repeat(UPLOAD_BYTES),
    });

  // Guards against parts of responses that callers take for whole ones.
  for (const [framing, {fields, part}] of Object.entries(FRAMINGS)) {
    describe(framing, () => {
      for (const [route, body] of Object.entries(BODIES)) {
        for (const delayMs of RESET_DELAYS_MS) {
          it(`${route}: do not look whole after a reset ${delayMs} ms later`, async () => {
            let unread = 0;
            respondEarly(request => {
              const {socket} = request;
              socket.on('error', () => undefined);
              if (!request.complete) unread++;
              socket.write(renderHead(request, fields) + part(body), () =>
                setTimeout(() => socket.resetAndDestroy(), delayMs),
              );
            });
            const path = ROUTE_PATHS[route as keyof typeof ROUTE_PATHS];
            const response = await upload(path);
            expect(unread).toBeGreaterThanOrEqual(1);
            expect(looksWhole(response) && response.status < 300).toEqual(
              false,
            );
          });
        }
      }
    });
  }

  it('are passed on whole when they end in order', async () => {
    respondEarly(request =>
      request.socket.end(renderHead(request, []) + BODIES.once),
    );
    const response = await upload(ROUTE_PATHS.once);
    expect(response.status).toEqual(200);
    expect(response.body).toEqual(BODIES.once);
  });
});

describe('responses whose status is none of a response', () => {
  let cluster: GatewayCluster;
  let gateway: TestGateway;
  before(async () => {
    cluster = await createGatewayCluster(2);
    gateway = await cluster.startGateway();
  });
  after(() => cluster.close());

  const respondOnceWith = (status: string) => {
    let isFirst = true;
    for (const upstream of cluster.upstreams) {
      upstream.chooseBehaviour = ({requestId, url}) => {
        if (!isFirst) {
          return url.startsWith('/resumable')
            ? {kind: 'stream', events: 3}
            : {kind: 'answer'};
        }
        isFirst = false;
        const head = `HTTP/1.1 ${status} X\r\nrequest-id: ${requestId}\r\nresponse-stamp: stamp\r\n`;
        return {
          kind: 'raw',
          bytes: Buffer.from(`${head}content-length: 4\r\n\r\noops`),
        };
      };
    }
  };

  // Guards against statuses that callers cannot interpret.
  for (const status of ['000', '099', '600', '999']) {
    it(`${status}: gives 502 if the request must not be retried`, async () => {
      respondOnceWith(status);
      const response = await gateway.call({
        method: 'POST',
        path: ROUTE_PATHS.once,
        headers: createKeyedHeaders(`once-${status}`),
        body: 'order',
      });
      expect(response.status).toEqual(502);
      expect('response-stamp' in response.headers).toEqual(false);
    });

    for (const route of ['idempotent', 'resumable'] as const) {
      it(`${status}: is retried on the route ${route}`, async () => {
        respondOnceWith(status);
        const response = await gateway.call({
          path: ROUTE_PATHS[route],
          headers: createKeyedHeaders(`${route}-${status}`),
        });
        expect(response.status).toEqual(200);
      });
    }
  }
});
