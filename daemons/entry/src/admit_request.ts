import {randomUUID} from 'node:crypto';
import type {RefusalCode} from '@sardinestile/errors';
import type {Organisation, ServiceText} from '@sardinestile/service_text';
import {HTTPError, type H3Event} from 'h3';
import {Err, Ok, type Result} from 'ts-results-es';
import type {BodyAccount} from './body_budget.js';
import type {
  ClassifiedRequest,
  ClassificationError,
} from './classify_request.js';
import type {EntryContext} from './entry_context.js';
import {authenticate, readBearerToken} from './key_authenticator.js';
import {readLimitedBody, type BodyRefusal} from './read_body.js';

/** Organisation name used for requests without a key on open routes. */
export const OPEN_ORGANISATION = 'open';

/**
 * A request that passed authentication, classification and its organisation's
 * limits.
 */
export interface AdmittedRequest {
  requestId: string;
  organisation: string;
  keyId: string;
  request: ClassifiedRequest;
  body: Uint8Array;
  /** Room of the body, until the request ends. */
  bodyAccount: BodyAccount;
  startedAtMs: number;
}

/** The refusal of a request that was not admitted. */
export interface AdmissionRefusal {
  code: RefusalCode;
  requestId: string;
  organisation?: string;
  detail?: string;
  retryAfterMs?: number;
}

/** Finds the request class of a request from the service text and the body. */
export type RequestClassifier = (
  serviceText: ServiceText,
  body: Uint8Array,
) => Result<ClassifiedRequest, ClassificationError>;

/**
 * Retry delay sent to callers that another entry may serve, as this one lacks a current
 * configuration or memory. It is the shortest that `Retry-After` can say.
 */
export const OTHER_ENTRY_RETRY_AFTER_MS = 1_000;

/** What callers learn about a body that was not read whole. */
const BODY_REFUSALS: Readonly<Record<BodyRefusal, Partial<AdmissionRefusal>>> =
  {
    body_too_large: {},
    memory_short: {retryAfterMs: OTHER_ENTRY_RETRY_AFTER_MS},
  };

/**
 * Authenticates, reads and classifies a request and applies its organisation's
 * limits. For each admitted request, the caller of this function must call
 * `releaseRequest` once.
 */
export async function admitRequest(
  context: EntryContext,
  request: H3Event['req'],
  classify: RequestClassifier,
): Promise<Result<AdmittedRequest, AdmissionRefusal>> {
  const bodyAccount = context.bodyBudget.open();
  let isAdmitted = false;
  try {
    const result = await checkRequest(context, request, classify, bodyAccount);
    isAdmitted = result.isOk();
    return result;
  } finally {
    if (!isAdmitted) bodyAccount.close();
  }
}

/** Gives back what an admitted request takes, once it has ended. */
export function releaseRequest(
  {limits}: EntryContext,
  {organisation, bodyAccount}: AdmittedRequest,
): void {
  limits.release(organisation);
  bodyAccount.close();
}

async function checkRequest(
  context: EntryContext,
  request: H3Event['req'],
  classify: RequestClassifier,
  bodyAccount: BodyAccount,
): Promise<Result<AdmittedRequest, AdmissionRefusal>> {
  const startedAtMs = performance.now();
  const requestId = randomUUID();
  const refuse = (code: RefusalCode, details: Partial<AdmissionRefusal> = {}) =>
    Err({code, requestId, ...details});
  const serviceText = context.replica.serviceText;
  if (!serviceText) {
    const retryAfterMs = OTHER_ENTRY_RETRY_AFTER_MS;
    return refuse('not_ready', {retryAfterMs});
  }
  const secret = readBearerToken(request.headers);
  const key = secret ? authenticate(context.replica, secret) : undefined;
  if (secret && !key) return refuse('invalid_key');

  const read = await readLimitedBody(request, {
    maxBytes: context.maxBodyBytes,
    account: bodyAccount,
    bufferCollector: context.bufferCollector,
  }).catch((error: unknown) => {
    if (HTTPError.isError(error)) {
      context.logger.info('call_abandoned', {requestId});
    }
    throw error;
  });
  if (read.isErr()) return refuse(read.error, BODY_REFUSALS[read.error]);
  const body = read.value;
  const classified = classify(serviceText, body);
  if (classified.isErr()) {
    const {code, detail} = classified.error;
    return refuse(code, {detail, organisation: key?.organisation});
  }
  if (!classified.value.isOpenToAll) {
    if (!key) return refuse('missing_key');
    if (!context.follower.areKeysFresh) {
      const retryAfterMs = OTHER_ENTRY_RETRY_AFTER_MS;
      return refuse('keys_stale', {retryAfterMs});
    }
  }
  const organisation = findOrganisation(serviceText, key?.organisation);
  if (!organisation) return refuse('invalid_key');
  const decision = context.limits.acquire(
    organisation,
    countEntries(context),
    performance.now(),
  );
  if (!decision.isAllowed) {
    const {retryAfterMs} = decision;
    const {name} = organisation;
    return refuse('organisation_limit', {retryAfterMs, organisation: name});
  }
  return Ok({
    requestId,
    organisation: organisation.name,
    keyId: key?.keyId ?? '',
    request: classified.value,
    body,
    bodyAccount,
    startedAtMs,
  });
}

function findOrganisation(
  serviceText: ServiceText,
  name: string | undefined,
): Organisation | undefined {
  if (name === undefined) return {name: OPEN_ORGANISATION, weight: 1};
  return serviceText.organisations.find(
    organisation => organisation.name === name,
  );
}

function countEntries(context: EntryContext): number {
  const entries = context.follower.instances.filter(
    member => member.role === 'entry',
  );
  return Math.max(1, entries.length);
}
