import {createHash, randomBytes, randomUUID} from 'node:crypto';
import {checkServiceText} from '@sardinestile/checks';
import {SardinestileError, type ErrorCode} from '@sardinestile/errors';
import {hasAdminKey, unauthorizedResponse} from '@sardinestile/ops';
import {diffText, type ConfigReplica} from '@sardinestile/replica';
import {
  versionConflict,
  type NewConfigChange,
  type ConfigStore,
} from '@sardinestile/store';
import {readBody, type H3, type H3Event} from 'h3';
import {z} from 'zod';
import {OPENAPI_DOCUMENT} from './openapi_document.js';

/** Length of the random part of an API key's secret. */
const SECRET_BYTES = 24;

/** Maximum attempts to store a change that is valid at any version of the configuration. */
const MAX_APPEND_ATTEMPTS = 5;

/** HTTP status of the response for each error code. */
const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
  SETTINGS_INVALID: 500,
  ADDRESS_UNAVAILABLE: 500,
  TEXT_REFUSED: 422,
  VERSION_CONFLICT: 412,
  STORE_UNAVAILABLE: 503,
  PEER_UNAVAILABLE: 503,
  UPSTREAM_FAILED: 503,
  FENCED: 409,
  NOT_FOUND: 404,
  UNAUTHORIZED: 401,
  INVALID_REQUEST: 400,
};

const grantKeySchema = z.strictObject({organisation: z.string()});
const setDrainSchema = z.strictObject({isDraining: z.boolean()});

/** Options for addAdminApi. */
export interface AdminApiOptions {
  /** Bearer key that every route but the OpenAPI document requires. */
  adminKey: string;
  replica: ConfigReplica;
  store: ConfigStore;
  /** Reads the usage of one window, or of all windows if none is given. */
  readUsage: (windowId: string | undefined) => Promise<unknown>;
}

type Handler = (event: H3Event) => Promise<unknown> | unknown;

/** Adds the routes of the administration API to an application. */
export function addAdminApi(app: H3, options: AdminApiOptions): void {
  const {replica, store} = options;

  const requireAdminKey =
    (handler: Handler): Handler =>
    async event => {
      if (!hasAdminKey(event, options.adminKey)) return unauthorizedResponse();
      try {
        return await handler(event);
      } catch (error) {
        return createErrorResponse(error);
      }
    };
  const getText = () => {
    const headers = {
      'content-type': 'application/yaml',
      etag: formatEtag(replica.version),
    };
    return new Response(replica.text, {headers});
  };
  const putText = async (event: H3Event) => {
    const expectedVersion = parseIfMatch(event.req.headers.get('if-match'));
    const text = await event.req.text();
    validateText(text);
    await store.refresh();
    if (replica.version !== expectedVersion) {
      throw versionConflict(replica.version);
    }
    const edit = diffText(replica.text, text);
    const body: NewConfigChange = {kind: 'textEdited', ...edit};
    const version = await store.append(body, expectedVersion);
    const headers = {etag: formatEtag(version)};
    return Response.json({version}, {headers});
  };
  /**
   * Appends a change that is valid at any version. Retries if another change is
   * stored in between.
   */
  const appendWithRetries = async (body: NewConfigChange): Promise<number> => {
    for (let attempt = 1; ; attempt++) {
      await store.refresh();
      try {
        return await store.append(body, replica.version);
      } catch (error) {
        const isConflict = getErrorCode(error) === 'VERSION_CONFLICT';
        if (!isConflict || attempt === MAX_APPEND_ATTEMPTS) throw error;
      }
    }
  };
  const grantKey = async (event: H3Event) => {
    const {organisation} = await parseBody(event, grantKeySchema);
    const organisations = replica.serviceText?.organisations ?? [];
    if (!organisations.some(({name}) => name === organisation)) {
      throw createNotFoundError(`no organisation "${organisation}"`);
    }
    const keyId = randomUUID();
    const secret = `sk-${randomBytes(SECRET_BYTES).toString('base64url')}`;
    const secretHash = createHash('sha256').update(secret).digest('hex');
    const key = {keyId, organisation, secretHash};
    const version = await appendWithRetries({kind: 'keyGranted', key});
    return Response.json({keyId, organisation, secret, version}, {status: 201});
  };
  const revokeKey = async (event: H3Event) => {
    const keyId = event.context.params?.keyId ?? '';
    await store.refresh();
    if (!replica.hasKey(keyId)) throw createNotFoundError(`no key "${keyId}"`);
    const version = await appendWithRetries({kind: 'keyWithdrawn', keyId});
    return {keyId, version};
  };
  const setDrain = async (event: H3Event) => {
    const upstream = event.context.params?.upstream ?? '';
    const {isDraining} = await parseBody(event, setDrainSchema);
    const version = await appendWithRetries({
      kind: 'drainSet',
      upstream,
      isDraining,
    });
    return {upstream, isDraining, version};
  };
  const listKeys = () =>
    replica.listKeys().map(({keyId, organisation}) => ({keyId, organisation}));

  app.get('/admin/v1/openapi.json', () => OPENAPI_DOCUMENT);
  app.get('/admin/v1/text', requireAdminKey(getText));
  app.put('/admin/v1/text', requireAdminKey(putText));
  app.get(
    '/admin/v1/history',
    requireAdminKey(event => {
      const since = Number(event.url.searchParams.get('since') ?? 0);
      return store.history(Number.isInteger(since) ? since : 0);
    }),
  );
  app.get('/admin/v1/keys', requireAdminKey(listKeys));
  app.post('/admin/v1/keys', requireAdminKey(grantKey));
  app.delete('/admin/v1/keys/:keyId', requireAdminKey(revokeKey));
  app.put('/admin/v1/drains/:upstream', requireAdminKey(setDrain));
  app.get(
    '/admin/v1/usage',
    requireAdminKey(event => {
      const windowId = event.url.searchParams.get('window') ?? undefined;
      return options.readUsage(windowId);
    }),
  );
}

async function parseBody<S extends z.ZodType>(
  event: H3Event,
  schema: S,
): Promise<z.infer<S>> {
  const body = await readBody(event).catch((error: Error) => {
    throw new SardinestileError({
      code: 'INVALID_REQUEST',
      message: `the body cannot be read: ${error.message}`,
    });
  });
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  throw new SardinestileError({
    code: 'INVALID_REQUEST',
    message: z.prettifyError(parsed.error),
  });
}

/** Throws if a text has errors; warnings do not prevent its acceptance. */
function validateText(text: string): void {
  const {serviceText, findings} = checkServiceText(text);
  if (serviceText) return;
  throw new SardinestileError({
    code: 'TEXT_REFUSED',
    message: `the text has ${findings.length} findings`,
    hint: 'Run "sardinestile config check" on the text.',
    cause: findings,
  });
}

function formatEtag(version: number): string {
  return `"${version}"`;
}

function parseIfMatch(header: string | null): number {
  const match = /^"(\d+)"$/.exec(header ?? '');
  if (match) return Number(match[1]);
  throw new SardinestileError({
    code: 'INVALID_REQUEST',
    message: 'If-Match must carry the ETag of the version that was edited',
    hint: 'Read the text first.',
  });
}

function createNotFoundError(message: string): SardinestileError {
  return new SardinestileError({code: 'NOT_FOUND', message});
}

function getErrorCode(error: unknown): ErrorCode | undefined {
  return error instanceof SardinestileError ? error.code : undefined;
}

function createErrorResponse(error: unknown): Response {
  if (!(error instanceof SardinestileError)) throw error;
  const {code, message, hint, cause} = error;
  const findings = code === 'TEXT_REFUSED' ? cause : undefined;
  const status = STATUS_BY_CODE[code];
  return Response.json({error: {code, message, hint, findings}}, {status});
}
