import {startHttpServer} from '@sardinestile/http';
import {
  versionCheckSchema,
  instanceSchema,
  upstreamCountOrderSchema,
  usageReportSchema,
  rowWriteSchema,
} from '@sardinestile/ports';
import {H3, readBody, type H3Event} from 'h3';
import {z} from 'zod';
import {createPlatformState, type PlatformState} from './platform_state.js';

/** Schema of the faults that the stand-in platform simulates. */
export const platformFaultsSchema = z.object({
  /** Whether every request is rejected with status 503. */
  isDown: z.boolean().default(false),
  /** Delay of every response, in milliseconds. */
  delayMs: z.number().default(0),
  /** Number of transactions that are applied but answered with status 503. */
  lostAnswers: z.number().int().default(0),
});

/** Faults that the stand-in platform simulates. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Options for `startPlatformStandIn`. */
export interface PlatformStandInOptions {
  host: string;
  port: number;
}

/** A running stand-in platform. */
export interface PlatformStandIn {
  port: number;
  state: PlatformState;
  setFaults(faults: Partial<PlatformFaults>): void;
  close(): void;
}

const transactSchema = z.object({
  writes: z.array(rowWriteSchema),
  checks: z.array(versionCheckSchema),
});

const scanSchema = z.object({
  fromKey: z.string(),
  toKey: z.string(),
  limit: z.number().int(),
});

/** Starts a platform whose services all listen on one port. */
export async function startPlatformStandIn(
  options: PlatformStandInOptions,
): Promise<PlatformStandIn> {
  const state = createPlatformState();
  let faults = platformFaultsSchema.parse({});

  const withFaults = (handle: (event: H3Event) => unknown) => {
    return async (event: H3Event) => {
      if (faults.delayMs > 0) {
        await new Promise(done => setTimeout(done, faults.delayMs));
      }
      if (faults.isDown) return createUnavailableResponse();
      return handle(event);
    };
  };
  const transact = async (event: H3Event) => {
    const {writes, checks} = transactSchema.parse(await readBody(event));
    const outcome = state.transact(writes, checks);
    if (faults.lostAnswers === 0) return outcome;
    faults.lostAnswers--;
    return createUnavailableResponse();
  };
  const scan = async (event: H3Event) => {
    const {fromKey, toKey, limit} = scanSchema.parse(await readBody(event));
    return state.scan(fromKey, toKey, limit);
  };
  const app = new H3()
    .get(
      '/table/rows/**',
      withFaults(event => {
        const row = state.get(pathTail(event, '/table/rows/'));
        return {row: row ?? null};
      }),
    )
    .post('/table/scan', withFaults(scan))
    .post('/table/transact', withFaults(transact))
    .get(
      '/objects/**',
      withFaults(event => {
        const value = state.objects.get(pathTail(event, '/objects/'));
        return {value: value ?? null};
      }),
    )
    .put(
      '/objects/**',
      withFaults(async event => {
        const key = pathTail(event, '/objects/');
        state.objects.set(key, await event.req.text());
        return {};
      }),
    )
    .get(
      '/instances',
      withFaults(() => [...state.instances.values()]),
    )
    .post(
      '/usage',
      withFaults(async event => {
        state.usageReports.push(usageReportSchema.parse(await readBody(event)));
        return {};
      }),
    )
    .post(
      '/starter',
      withFaults(async event => {
        const order = upstreamCountOrderSchema.parse(await readBody(event));
        state.scalerOrders.push(order);
        return {};
      }),
    )
    .put('/_stand_in/instances', async event => {
      const instance = instanceSchema.parse(await readBody(event));
      state.instances.set(instance.id, instance);
      return {};
    })
    .put('/_stand_in/faults', async event => {
      faults = platformFaultsSchema.parse(await readBody(event));
      return {};
    });
  const server = await startHttpServer({
    app,
    host: options.host,
    port: options.port,
  });
  return {
    port: server.port,
    state,
    setFaults: next => {
      faults = {...faults, ...next};
    },
    close: () => server.destroy(),
  };
}

function pathTail(event: H3Event, prefix: string): string {
  return decodeURIComponent(event.url.pathname.slice(prefix.length));
}

function createUnavailableResponse(): Response {
  return Response.json({error: 'unavailable'}, {status: 503});
}
