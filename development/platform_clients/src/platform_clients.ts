import {SardinestileError} from '@sardinestile/errors';
import {
  instanceSchema,
  rowSchema,
  transactionResultSchema,
  type InstanceList,
  type ObjectStore,
  type TableService,
  type UpstreamScaler,
  type UsageReceiver,
} from '@sardinestile/ports';
import {Agent, request} from 'undici';
import {z} from 'zod';

/** Default timeout of a call to the platform. */
const CALL_TIMEOUT_MS = 2_000;

/** Clients for the platform's services. */
export interface PlatformClients {
  table: TableService;
  objectStore: ObjectStore;
  instanceList: InstanceList;
  usageReceiver: UsageReceiver;
  upstreamScaler: UpstreamScaler;
  close(): Promise<void>;
}

/** Options for `createPlatformClients`. */
export interface PlatformClientsOptions {
  /** Base URL of the platform, such as `http://127.0.0.1:8900`. */
  baseUrl: string;
  callTimeoutMs?: number;
}

interface Call {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  body?: string;
}

const rowResponseSchema = z.object({row: rowSchema.nullable()});
const objectResponseSchema = z.object({value: z.string().nullable()});

/**
 * Creates clients for the platform. Calls are not retried; a call that fails
 * throws a `SardinestileError` with the code `STORE_UNAVAILABLE`.
 */
export function createPlatformClients(
  options: PlatformClientsOptions,
): PlatformClients {
  const timeoutMs = options.callTimeoutMs ?? CALL_TIMEOUT_MS;
  const dispatcher = new Agent({
    connections: 8,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    connect: {timeout: timeoutMs},
  });
  const call = async <S extends z.ZodType>(
    schema: S,
    {method, path, body}: Call,
  ): Promise<z.infer<S>> => {
    try {
      const response = await request(options.baseUrl + path, {
        method,
        body,
        dispatcher,
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(timeoutMs),
      });
      const json = await response.body.json();
      if (response.statusCode !== 200) {
        throw new Error(`status ${response.statusCode}`);
      }
      return schema.parse(json);
    } catch (cause) {
      throw createUnavailableError(`${method} ${path}`, cause);
    }
  };
  const post = <S extends z.ZodType>(path: string, schema: S, body: unknown) =>
    call(schema, {method: 'POST', path, body: JSON.stringify(body)});
  return {
    table: {
      get: async key => {
        const path = `/table/rows/${encodeURIComponent(key)}`;
        const {row} = await call(rowResponseSchema, {method: 'GET', path});
        return row ?? undefined;
      },
      scan: (fromKey, toKey, limit) =>
        post('/table/scan', z.array(rowSchema), {fromKey, toKey, limit}),
      transact: (writes, checks = []) =>
        post('/table/transact', transactionResultSchema, {writes, checks}),
    },
    objectStore: {
      put: async (key, value) => {
        const path = `/objects/${encodeURIComponent(key)}`;
        await call(z.unknown(), {method: 'PUT', path, body: value});
      },
      get: async key => {
        const path = `/objects/${encodeURIComponent(key)}`;
        const {value} = await call(objectResponseSchema, {method: 'GET', path});
        return value ?? undefined;
      },
    },
    instanceList: {
      list: () =>
        call(z.array(instanceSchema), {method: 'GET', path: '/instances'}),
    },
    usageReceiver: {
      report: async ({organisations}, holdsLease) => {
        for (const report of organisations) {
          if (!holdsLease()) return false;
          await post('/usage', z.unknown(), report);
        }
        return true;
      },
    },
    upstreamScaler: {
      setCount: async order => {
        await post('/starter', z.unknown(), order);
      },
    },
    close: () => dispatcher.destroy(),
  };
}

function createUnavailableError(operation: string, cause: unknown) {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new SardinestileError({
    code: 'STORE_UNAVAILABLE',
    message: `${operation} failed: ${reason}`,
    hint: 'Check that the platform can be reached; the call may have taken effect.',
    cause,
  });
}
