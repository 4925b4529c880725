import {createHash, randomUUID} from 'node:crypto';
import type {TableService} from '@sardinestile/ports';
import {z} from 'zod';

/** Longest response body that is stored for repeated calls, in bytes. */
export const MAX_STORED_BODY_BYTES = 65_536;

const recordSchema = z.object({
  claimToken: z.string(),
  fingerprint: z.string(),
  /** Set if the call did not run, so that the key may be claimed again. */
  isReleased: z.boolean().optional(),
  /** Present once the call has ended. */
  answer: z
    .object({
      status: z.number().int(),
      headers: z.array(z.object({name: z.string(), value: z.string()})),
      bodyBase64: z.string(),
    })
    .optional(),
});
type IdempotencyRecord = z.infer<typeof recordSchema>;

/** Stored response that repeated calls receive. */
export interface StoredResponse {
  status: number;
  headers: Array<{name: string; value: string}>;
  body: Uint8Array;
}

/** Result of claimIdempotencyKey. */
export type ClaimOutcome =
  /** The caller may run the call. */
  | {kind: 'claimed'; claim: IdempotencyClaim}
  /** The call ran before; its response is stored. */
  | {kind: 'answered'; answer: StoredResponse}
  /** Another claim is open, or the response of the call was not stored. */
  | {kind: 'inProgress'}
  /** The key was used for a different call. */
  | {kind: 'conflict'}
  /** The store failed; it is not known whether the key is claimed. */
  | {kind: 'unavailable'};

/** Exclusive right to run the call of an idempotency key. */
export interface IdempotencyClaim {
  /** Stores the response for repeated calls, unless its body is too long. */
  complete(answer: StoredResponse): Promise<void>;
  /** Releases the claim. Only allowed if the call did not run. */
  release(): Promise<void>;
}

/** Identifies the call that is to run. */
export interface ClaimOptions {
  organisation: string;
  idempotencyKey: string;
  method: string;
  path: string;
  body: Uint8Array;
}

/**
 * Claims an idempotency key by a conditional write, so that the call of each key
 * runs at most once. Never rejects: a failure of the store gives `unavailable`.
 */
export async function claimIdempotencyKey(
  table: TableService,
  options: ClaimOptions,
): Promise<ClaimOutcome> {
  const key = rowKey(options);
  const record: IdempotencyRecord = {
    claimToken: randomUUID(),
    fingerprint: fingerprintOf(options),
  };
  try {
    if (await writeRecord(table, key, record, 0)) {
      return createClaimOutcome(table, key, record, 1);
    }
  } catch {
    // The write may have taken effect: the row shows whose claim it holds.
  }
  try {
    return await resolveClaim(table, key, record);
  } catch {
    return {kind: 'unavailable'};
  }
}

async function resolveClaim(
  table: TableService,
  key: string,
  own: IdempotencyRecord,
): Promise<ClaimOutcome> {
  const row = await table.get(key);
  if (!row) return {kind: 'unavailable'};
  const existing = recordSchema.parse(JSON.parse(row.value));
  if (existing.claimToken === own.claimToken) {
    return createClaimOutcome(table, key, own, row.version);
  }
  if (existing.fingerprint !== own.fingerprint) return {kind: 'conflict'};
  if (existing.isReleased) {
    const isClaimed = await writeRecord(table, key, own, row.version);
    if (isClaimed) return createClaimOutcome(table, key, own, row.version + 1);
  }
  if (!existing.answer) return {kind: 'inProgress'};
  const {status, headers, bodyBase64} = existing.answer;
  const body = Buffer.from(bodyBase64, 'base64');
  return {kind: 'answered', answer: {status, headers, body}};
}

async function writeRecord(
  table: TableService,
  key: string,
  record: IdempotencyRecord,
  expectedVersion: number,
): Promise<boolean> {
  const value = JSON.stringify(record);
  const outcome = await table.transact([{key, value, expectedVersion}]);
  return outcome.committed;
}

function createClaimOutcome(
  table: TableService,
  key: string,
  record: IdempotencyRecord,
  version: number,
): ClaimOutcome {
  const update = async (change: Partial<IdempotencyRecord>) => {
    try {
      await writeRecord(table, key, {...record, ...change}, version);
    } catch {
      // The record stays claimed, so repeated calls get `inProgress`.
    }
  };
  const complete = async ({status, headers, body}: StoredResponse) => {
    if (body.length > MAX_STORED_BODY_BYTES) return;
    const bodyBase64 = Buffer.from(body).toString('base64');
    await update({answer: {status, headers, bodyBase64}});
  };
  const release = () => update({isReleased: true});
  return {kind: 'claimed', claim: {complete, release}};
}

function rowKey({organisation, idempotencyKey}: ClaimOptions): string {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `idempotency/${organisation}/${digest}`;
}

function fingerprintOf({method, path, body}: ClaimOptions): string {
  return createHash('sha256')
    .update(`${method} ${path}\n`)
    .update(body)
    .digest('hex');
}
