import {
  harmfulPartSchema,
  partAnswerSchema,
  upstreamCrashSchema,
} from '@sardinestile/quarantine';
import {z} from 'zod';

/** A gateway sent a request to an upstream. */
const placedSchema = z.object({
  kind: z.literal('placed'),
  requestId: z.string(),
  upstreamId: z.string(),
  promptParts: z.array(z.object({id: z.string(), tokens: z.number()})),
  uncachedTokens: z.number(),
  promptTokens: z.number(),
  urgency: z.number(),
  targetGapMs: z.number().optional(),
});

/** An upstream returned the first event of a request. */
const firstEventSchema = z.object({
  kind: z.literal('firstEvent'),
  requestId: z.string(),
  upstreamId: z.string(),
});

/** A request ended at an upstream. */
const endedSchema = z.object({
  kind: z.literal('ended'),
  requestId: z.string(),
  upstreamId: z.string(),
  /** Absent if the way the request ended is no evidence of the upstream's health. */
  hasFailed: z.boolean().optional(),
});

/** An upstream stated in a response that it is leaving. */
const leavingSchema = z.object({
  kind: z.literal('leaving'),
  upstreamId: z.string(),
  /** Start of the upstream in Unix milliseconds; a later start is another upstream. */
  startedAtWallMs: z.number(),
});

/** An upstream stated another limit for the requests of all gateways together. */
const limitSchema = z.object({
  kind: z.literal('limit'),
  upstreamId: z.string(),
  /** Start of the upstream in Unix milliseconds; a later start is another upstream. */
  startedAtWallMs: z.number(),
  /** Requests a second; absent if it states no limit any more. */
  limitPerS: z.number().nonnegative().optional(),
});

/**
 * A change in the state of one request at one upstream, or of an upstream, or
 * evidence about prompt parts that crash upstreams.
 */
export const ledgerUpdateSchema = z.discriminatedUnion('kind', [
  placedSchema,
  firstEventSchema,
  endedSchema,
  leavingSchema,
  limitSchema,
  upstreamCrashSchema,
  partAnswerSchema,
  harmfulPartSchema,
]);

/** A change in the state of one request at one upstream, or of an upstream. */
export type LedgerUpdate = z.infer<typeof ledgerUpdateSchema>;

/** State of the sending gateway, included in every datagram. */
export interface SenderStatus {
  /** Whether the gateway is shutting down. */
  isStopping: boolean;
  /**
   * Whether the gateway recently saw the lease of the fleet's duty held, by
   * itself or by another.
   */
  hasSeenDutyHeld: boolean;
}

/** Contents of one datagram: the sender and a batch of its updates. */
export interface LedgerMessage {
  /**
   * Fleet of the sender; checked because an address may be reassigned to
   * another fleet.
   */
  fleetId: string;
  instance: string;
  /** Time at which the sender started, in Unix milliseconds. */
  startedAtMs: number;
  /**
   * The sender's wall clock in Unix milliseconds, slewed so that clock steps do
   * not move it.
   */
  slewedWallMs: number;
  status: SenderStatus;
  updates: LedgerUpdate[];
}

/**
 * Wire format of a message: positional arrays with one-letter kinds rather than
 * objects, because traffic between availability zones is billed by the byte.
 */
const messageSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number().int(),
  z.array(z.array(z.union([z.string(), z.number(), z.null()]))),
]);

/** Encodes a message as the payload of a datagram. */
export function encodeLedgerMessage(message: LedgerMessage): Buffer {
  const {fleetId, instance, startedAtMs, slewedWallMs, status, updates} =
    message;
  return Buffer.from(
    JSON.stringify([
      fleetId,
      instance,
      startedAtMs,
      slewedWallMs,
      encodeStatus(status),
      updates.map(encodeUpdate),
    ]),
  );
}

/**
 * Decodes the payload of a datagram; returns undefined if it is not a valid
 * message.
 */
export function decodeLedgerMessage(bytes: Buffer): LedgerMessage | undefined {
  const result = messageSchema.safeParse(parseJson(bytes));
  if (!result.success) return undefined;
  const [fleetId, instance, startedAtMs, slewedWallMs, statusBits, rows] =
    result.data;
  const status = decodeStatus(statusBits);
  const updates: LedgerUpdate[] = [];
  for (const row of rows) {
    // Gateways of a later version may send updates that this one does not know.
    const kind = KINDS_BY_CODE.get(row[0]);
    if (!kind) continue;
    const decoded = ledgerUpdateSchema.safeParse(decodeUpdate(kind, row));
    if (!decoded.success) return undefined;
    updates.push(decoded.data);
  }
  return {fleetId, instance, startedAtMs, slewedWallMs, status, updates};
}

/** Bits of the status field on the wire. */
const STOPPING_BIT = 1;
const DUTY_HELD_BIT = 2;

function encodeStatus({isStopping, hasSeenDutyHeld}: SenderStatus): number {
  return (
    (isStopping ? STOPPING_BIT : 0) | (hasSeenDutyHeld ? DUTY_HELD_BIT : 0)
  );
}

function decodeStatus(flags: number): SenderStatus {
  return {
    isStopping: (flags & STOPPING_BIT) !== 0,
    hasSeenDutyHeld: (flags & DUTY_HELD_BIT) !== 0,
  };
}

type UpdateRow = Array<string | number | null>;

/** Encoding of one kind of update as a row, without the first element. */
interface RowCodec<K extends LedgerUpdate['kind']> {
  /** First element of the row. */
  code: string;
  encode(update: Extract<LedgerUpdate, {kind: K}>): UpdateRow;
  /** Returns the fields of the update; they are validated afterwards. */
  decode(values: UpdateRow): object;
}

const ROW_CODECS: {[K in LedgerUpdate['kind']]: RowCodec<K>} = {
  placed: {
    code: 'p',
    encode: update => [
      update.requestId,
      update.upstreamId,
      update.uncachedTokens,
      update.promptTokens,
      update.urgency,
      update.targetGapMs ?? null,
      ...update.promptParts.flatMap(({id, tokens}) => [id, tokens]),
    ],
    decode([requestId, upstreamId, uncached, prompt, urgency, gapMs, ...rest]) {
      return {
        requestId,
        upstreamId,
        promptParts: toPairs(rest).map(([id, tokens]) => ({id, tokens})),
        uncachedTokens: uncached,
        promptTokens: prompt,
        urgency,
        targetGapMs: gapMs ?? undefined,
      };
    },
  },
  firstEvent: {
    code: 'f',
    encode: ({requestId, upstreamId}) => [requestId, upstreamId],
    decode: ([requestId, upstreamId]) => ({requestId, upstreamId}),
  },
  ended: {
    code: 'e',
    encode: ({requestId, upstreamId, hasFailed}) => [
      requestId,
      upstreamId,
      hasFailed === undefined ? null : +hasFailed,
    ],
    decode: ([requestId, upstreamId, hasFailed]) => ({
      requestId,
      upstreamId,
      hasFailed: hasFailed === null ? undefined : hasFailed === 1,
    }),
  },
  leaving: {
    code: 'l',
    encode: ({upstreamId, startedAtWallMs}) => [upstreamId, startedAtWallMs],
    decode: ([upstreamId, startedAtWallMs]) => ({upstreamId, startedAtWallMs}),
  },
  limit: {
    code: 'm',
    encode: ({upstreamId, startedAtWallMs, limitPerS}) => [
      upstreamId,
      startedAtWallMs,
      limitPerS ?? null,
    ],
    decode: ([upstreamId, startedAtWallMs, limitPerS]) => ({
      upstreamId,
      startedAtWallMs,
      limitPerS: limitPerS ?? undefined,
    }),
  },
  crash: {
    code: 'c',
    encode: ({upstreamId, startedAtWallMs, atMs, parts}) => [
      upstreamId,
      startedAtWallMs,
      atMs,
      ...parts.flatMap(({id, depth}) => [id, depth]),
    ],
    decode: ([upstreamId, startedAtWallMs, atMs, ...values]) => ({
      upstreamId,
      startedAtWallMs,
      atMs,
      parts: toPairs(values).map(([id, depth]) => ({id, depth})),
    }),
  },
  answer: {
    code: 'a',
    encode: ({partId, atMs}) => [partId, atMs],
    decode: ([partId, atMs]) => ({partId, atMs}),
  },
  harmful: {
    code: 'h',
    encode: ({partId, crashes, lastCrashAtMs}) => [
      partId,
      crashes,
      lastCrashAtMs,
    ],
    decode: ([partId, crashes, lastCrashAtMs]) => ({
      partId,
      crashes,
      lastCrashAtMs,
    }),
  },
};

const KINDS_BY_CODE: ReadonlyMap<unknown, LedgerUpdate['kind']> = new Map(
  Object.entries(ROW_CODECS).map(([kind, {code}]) => [
    code,
    kind as LedgerUpdate['kind'],
  ]),
);

function encodeUpdate(update: LedgerUpdate): UpdateRow {
  const {code, encode} = ROW_CODECS[update.kind];
  return [code, ...(encode as (update: LedgerUpdate) => UpdateRow)(update)];
}

function decodeUpdate(kind: LedgerUpdate['kind'], row: UpdateRow): unknown {
  return {kind, ...ROW_CODECS[kind].decode(row.slice(1))};
}

/** Splits the values into pairs; the last one may be incomplete. */
function toPairs(values: UpdateRow): UpdateRow[] {
  const pairs: UpdateRow[] = [];
  for (let i = 0; i < values.length; i += 2) pairs.push(values.slice(i, i + 2));
  return pairs;
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    // Any host can send datagrams to this port, so a payload may not be JSON.
    if (error instanceof SyntaxError) return undefined;
    throw error;
  }
}
