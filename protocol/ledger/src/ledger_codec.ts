import {z} from 'zod';
import {decodeUpdate, encodeUpdate, kindOfRow} from './update_rows.js';
import {ledgerUpdateSchema, type LedgerUpdate} from './ledger_update.js';

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
  /** Whether the message is for gateways of other groups than the sender's. */
  isBetweenGroups: boolean;
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
  const {fleetId, instance, startedAtMs, slewedWallMs, updates} = message;
  return Buffer.from(
    JSON.stringify([
      fleetId,
      instance,
      startedAtMs,
      slewedWallMs,
      encodeFlags(message),
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
  const [fleetId, instance, startedAtMs, slewedWallMs, flags, rows] =
    result.data;
  const updates: LedgerUpdate[] = [];
  for (const row of rows) {
    // Gateways of a later version may send updates that this one does not know.
    const kind = kindOfRow(row);
    if (!kind) continue;
    const decoded = ledgerUpdateSchema.safeParse(decodeUpdate(kind, row));
    if (!decoded.success) return undefined;
    updates.push(decoded.data);
  }
  return {
    fleetId,
    instance,
    startedAtMs,
    slewedWallMs,
    ...decodeFlags(flags),
    updates,
  };
}

/** Bits of the status field on the wire. */
const STOPPING_BIT = 1;
const DUTY_HELD_BIT = 2;
const BETWEEN_GROUPS_BIT = 4;

type MessageFlags = Pick<LedgerMessage, 'status' | 'isBetweenGroups'>;

function encodeFlags({status, isBetweenGroups}: MessageFlags): number {
  return (
    (status.isStopping ? STOPPING_BIT : 0) |
    (status.hasSeenDutyHeld ? DUTY_HELD_BIT : 0) |
    (isBetweenGroups ? BETWEEN_GROUPS_BIT : 0)
  );
}

function decodeFlags(flags: number): MessageFlags {
  return {
    status: {
      isStopping: (flags & STOPPING_BIT) !== 0,
      hasSeenDutyHeld: (flags & DUTY_HELD_BIT) !== 0,
    },
    isBetweenGroups: (flags & BETWEEN_GROUPS_BIT) !== 0,
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
