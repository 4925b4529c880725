import {startHttpServer} from '@sardinestile/http';
import {H3, type H3Event} from 'h3';

/** Options for `startPlainStandIn`. */
export interface PlainStandInOptions {
  host: string;
  port: number;
  /** Delay of each response, in milliseconds. */
  delayMs?: number;
}

/** A request that the service received. */
export interface RecordedCall {
  method: string;
  path: string;
  body: string;
  headers: Record<string, string>;
}

/** A running stand-in plain service. */
export interface PlainStandIn {
  port: number;
  /** All requests in the order of their arrival. */
  calls(): readonly RecordedCall[];
  setDelayMs(delayMs: number): void;
  close(): Promise<void>;
  crash(): void;
}

/** Starts a service that records each request and echoes it in the response. */
export async function startPlainStandIn(
  options: PlainStandInOptions,
): Promise<PlainStandIn> {
  const calls: RecordedCall[] = [];
  let delayMs = options.delayMs ?? 0;
  const recordAndEcho = async (event: H3Event) => {
    const call: RecordedCall = {
      method: event.req.method,
      path: event.url.pathname + event.url.search,
      body: await event.req.text(),
      headers: Object.fromEntries(event.req.headers),
    };
    calls.push(call);
    const {length} = calls;
    if (delayMs > 0) await sleepUnref(delayMs);
    const {method, path, body} = call;
    return Response.json({sequence: length, method, path, body});
  };
  const app = new H3()
    .get('/_stand_in/calls', () => calls)
    .all('/**', recordAndEcho);
  const server = await startHttpServer({
    app,
    host: options.host,
    port: options.port,
  });
  return {
    port: server.port,
    calls: () => calls,
    setDelayMs: value => {
      delayMs = value;
    },
    close: async () => server.destroy(),
    crash: () => server.destroy(),
  };
}

/** Waits; the timer does not keep the process alive. */
function sleepUnref(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs).unref());
}
