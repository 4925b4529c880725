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

/** A change in the state of one request at one upstream, or of an upstream. */
export const ledgerUpdateSchema = z.discriminatedUnion('kind', [
  placedSchema,
  firstEventSchema,
  endedSchema,
  leavingSchema,
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
    if (!KNOWN_KIND_CODES.has(row[0])) continue;
    const decoded = ledgerUpdateSchema.safeParse(decodeUpdate(row));
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

/** First elements of the rows that `decodeUpdate` knows. */
const KNOWN_KIND_CODES: ReadonlySet<unknown> = new Set(['p', 'f', 'e', 'l']);

function encodeUpdate(item: LedgerUpdate): UpdateRow {
  if (item.kind === 'firstEvent') return ['f', item.requestId, item.upstreamId];
  if (item.kind === 'leaving') {
    return ['l', item.upstreamId, item.startedAtWallMs];
  }
  if (item.kind === 'ended') {
    const {requestId, upstreamId, hasFailed} = item;
    return [
      'e',
      requestId,
      upstreamId,
      hasFailed === undefined ? null : +hasFailed,
    ];
  }
  return [
    'p',
    item.requestId,
    item.upstreamId,
    item.uncachedTokens,
    item.promptTokens,
    item.urgency,
    item.targetGapMs ?? null,
    ...item.promptParts.flatMap(({id, tokens}) => [id, tokens]),
  ];
}

function decodeUpdate(row: UpdateRow): unknown {
  const [kindCode, requestId, upstreamId] = row;
  if (kindCode === 'l') {
    return {kind: 'leaving', upstreamId: row[1], startedAtWallMs: row[2]};
  }
  if (kindCode === 'f') return {kind: 'firstEvent', requestId, upstreamId};
  if (kindCode === 'e') {
    const hasFailed = row[3] === null ? undefined : row[3] === 1;
    return {kind: 'ended', requestId, upstreamId, hasFailed};
  }
  const [uncachedTokens, promptTokens, urgency, gapMs, ...partValues] =
    row.slice(3);
  const promptParts: unknown[] = [];
  for (let i = 0; i < partValues.length; i += 2) {
    promptParts.push({id: partValues[i], tokens: partValues[i + 1]});
  }
  return {
    kind: 'placed',
    requestId,
    upstreamId,
    promptParts,
    uncachedTokens,
    promptTokens,
    urgency,
    targetGapMs: gapMs ?? undefined,
  };
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
