import {z} from 'zod';

/** A request that a gateway placed at an upstream. */
const placedSchema = z.object({
  kind: z.literal('placed'),
  requestId: z.string(),
  upstreamId: z.string(),
  parts: z.array(z.object({id: z.string(), tokens: z.number()})),
  unreadTokens: z.number(),
  promptTokens: z.number(),
  urgency: z.number(),
  targetGapMs: z.number().optional(),
});

const firstEventSchema = z.object({
  kind: z.literal('firstEvent'),
  requestId: z.string(),
  upstreamId: z.string(),
});

const endedSchema = z.object({
  kind: z.literal('ended'),
  requestId: z.string(),
  upstreamId: z.string(),
  /** Absent where the end says nothing about the upstream. */
  hasFailed: z.boolean().optional(),
});

/** News of one request. */
export const ledgerNewsSchema = z.discriminatedUnion('kind', [
  placedSchema,
  firstEventSchema,
  endedSchema,
]);

/** News of one request. */
export type LedgerNews = z.infer<typeof ledgerNewsSchema>;

/** What a sender says of itself in every datagram. */
export interface SenderStatus {
  /** Whether it is about to end. */
  isStopping: boolean;
  /** Whether it saw the fleet's duty held lately, by itself or another. */
  seesDutyHeld: boolean;
}

/** One datagram: who sends it, and its news since the last one. */
export interface LedgerMessage {
  /** Fleet of the sender; addresses may come to belong to another one. */
  fleetId: string;
  instance: string;
  /** Unix millisecond of the sender's start. */
  startedAtMs: number;
  /** The sender's time of day, which no step moves. */
  wallMs: number;
  status: SenderStatus;
  news: LedgerNews[];
}

/** Letters that stand for the kinds on the wire, where bytes between zones cost. */
const messageSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number().int(),
  z.array(z.array(z.union([z.string(), z.number(), z.null()]))),
]);

/** Encodes a message. */
export function encodeLedgerMessage(message: LedgerMessage): Buffer {
  const {fleetId, instance, startedAtMs, wallMs, status, news} = message;
  return Buffer.from(
    JSON.stringify([
      fleetId,
      instance,
      startedAtMs,
      wallMs,
      encodeStatus(status),
      news.map(encodeNews),
    ]),
  );
}

/** Decodes a message; undefined if it is not one. */
export function decodeLedgerMessage(bytes: Buffer): LedgerMessage | undefined {
  const result = messageSchema.safeParse(parseJson(bytes));
  if (!result.success) return undefined;
  const [fleetId, instance, startedAtMs, wallMs, flags, rows] = result.data;
  const status = decodeStatus(flags);
  const news: LedgerNews[] = [];
  for (const row of rows) {
    const decoded = ledgerNewsSchema.safeParse(decodeNews(row));
    if (!decoded.success) return undefined;
    news.push(decoded.data);
  }
  return {fleetId, instance, startedAtMs, wallMs, status, news};
}

/** Bits of the status on the wire. */
const STOPPING_BIT = 1;
const DUTY_HELD_BIT = 2;

function encodeStatus({isStopping, seesDutyHeld}: SenderStatus): number {
  return (isStopping ? STOPPING_BIT : 0) | (seesDutyHeld ? DUTY_HELD_BIT : 0);
}

function decodeStatus(flags: number): SenderStatus {
  return {
    isStopping: (flags & STOPPING_BIT) !== 0,
    seesDutyHeld: (flags & DUTY_HELD_BIT) !== 0,
  };
}

type NewsRow = Array<string | number | null>;

function encodeNews(news: LedgerNews): NewsRow {
  if (news.kind === 'firstEvent') return ['f', news.requestId, news.upstreamId];
  if (news.kind === 'ended') {
    const {requestId, upstreamId, hasFailed} = news;
    return [
      'e',
      requestId,
      upstreamId,
      hasFailed === undefined ? null : +hasFailed,
    ];
  }
  return [
    'p',
    news.requestId,
    news.upstreamId,
    news.unreadTokens,
    news.promptTokens,
    news.urgency,
    news.targetGapMs ?? null,
    ...news.parts.flatMap(({id, tokens}) => [id, tokens]),
  ];
}

function decodeNews(row: NewsRow): unknown {
  const [letter, requestId, upstreamId] = row;
  if (letter === 'f') return {kind: 'firstEvent', requestId, upstreamId};
  if (letter === 'e') {
    const hasFailed = row[3] === null ? undefined : row[3] === 1;
    return {kind: 'ended', requestId, upstreamId, hasFailed};
  }
  const [unreadTokens, promptTokens, urgency, gapMs, ...flat] = row.slice(3);
  const parts: unknown[] = [];
  for (let i = 0; i < flat.length; i += 2) {
    parts.push({id: flat[i], tokens: flat[i + 1]});
  }
  return {
    kind: 'placed',
    requestId,
    upstreamId,
    parts,
    unreadTokens,
    promptTokens,
    urgency,
    targetGapMs: gapMs ?? undefined,
  };
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    // Datagrams may come from anywhere; what is not JSON is no message.
    if (error instanceof SyntaxError) return undefined;
    throw error;
  }
}
