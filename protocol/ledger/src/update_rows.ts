import type {LedgerUpdate} from './ledger_update.js';

/** An update as it is sent; the first element tells its kind. */
export type UpdateRow = Array<string | number | null>;

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
    encode: ({requestId, upstreamId, service, softwareVersion}) => [
      requestId,
      upstreamId,
      ...[service, softwareVersion].filter(value => value !== undefined),
    ],
    decode: ([requestId, upstreamId, service, softwareVersion]) => ({
      requestId,
      upstreamId,
      ...(service !== undefined && {service}),
      ...(softwareVersion !== undefined && {softwareVersion}),
    }),
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
  usage: {
    code: 'u',
    encode: ({service, group, gateways, maturity, ageMs, sums}) => [
      service,
      group ?? null,
      gateways,
      // More digits are below what requests change by chance.
      round(maturity, 3),
      Math.round(ageMs),
      ...sums.flatMap(sum => [
        sum.organisation,
        sum.urgency,
        round(sum.demandPerS, 1),
        round(sum.usagePerS, 1),
        round(sum.usualPerS, 1),
      ]),
    ],
    decode: ([service, group, gateways, maturity, ageMs, ...values]) => ({
      service,
      group: group ?? undefined,
      gateways,
      maturity,
      ageMs,
      sums: toRows(values, 5).map(
        ([organisation, urgency, demandPerS, usagePerS, usualPerS]) => ({
          organisation,
          urgency,
          demandPerS,
          usagePerS,
          usualPerS,
        }),
      ),
    }),
  },
};

const KINDS_BY_CODE: ReadonlyMap<unknown, LedgerUpdate['kind']> = new Map(
  Object.entries(ROW_CODECS).map(([kind, {code}]) => [
    code,
    kind as LedgerUpdate['kind'],
  ]),
);

/** Encodes an update as a row. */
export function encodeUpdate(update: LedgerUpdate): UpdateRow {
  const {code, encode} = ROW_CODECS[update.kind];
  return [code, ...(encode as (update: LedgerUpdate) => UpdateRow)(update)];
}

/** Returns the kind of a row; undefined if this version does not know it. */
export function kindOfRow(row: UpdateRow): LedgerUpdate['kind'] | undefined {
  return KINDS_BY_CODE.get(row[0]);
}

/** Decodes a row of a kind; its fields have to be validated afterwards. */
export function decodeUpdate(
  kind: LedgerUpdate['kind'],
  row: UpdateRow,
): unknown {
  return {kind, ...ROW_CODECS[kind].decode(row.slice(1))};
}

/** Splits the values into pairs; the last one may be incomplete. */
function toPairs(values: UpdateRow): UpdateRow[] {
  return toRows(values, 2);
}

/** Splits the values into rows of a length; the last one may be incomplete. */
function toRows(values: UpdateRow, length: number): UpdateRow[] {
  const rows: UpdateRow[] = [];
  for (let i = 0; i < values.length; i += length) {
    rows.push(values.slice(i, i + length));
  }
  return rows;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
