import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  decodeLedgerMessage,
  encodeLedgerMessage,
  type LedgerMessage,
  type LedgerUpdate,
} from '../src/index.js';

const UPDATES: LedgerUpdate[] = [
  {
    kind: 'placed',
    requestId: 'r',
    upstreamId: 'u',
    promptParts: [{id: 'a', tokens: 5}],
    uncachedTokens: 1,
    promptTokens: 5,
    urgency: 2,
    targetGapMs: 200,
  },
  {kind: 'firstEvent', requestId: 'r', upstreamId: 'u'},
  {kind: 'ended', requestId: 'r', upstreamId: 'u', hasFailed: true},
  {kind: 'leaving', upstreamId: 'u', startedAtWallMs: 7},
  {kind: 'limit', upstreamId: 'u', startedAtWallMs: 7, limitPerS: 0.5},
  {
    kind: 'crash',
    upstreamId: 'u',
    startedAtWallMs: 7,
    atMs: 9,
    parts: [
      {id: 'a', depth: 0},
      {id: 'b', depth: 1},
    ],
  },
  {kind: 'answer', partId: 'a', atMs: 9},
  {kind: 'harmful', partId: 'b', crashes: 3, lastCrashAtMs: 9},
  {
    kind: 'usage',
    service: 's',
    group: 1,
    gateways: 22,
    maturity: 21.5,
    ageMs: 40,
    sums: [
      {
        organisation: 'o',
        urgency: 2,
        demandPerS: 10.5,
        usagePerS: 9,
        usualPerS: 1.5,
      },
      {
        organisation: 'p',
        urgency: 0,
        demandPerS: 1,
        usagePerS: 1,
        usualPerS: 1,
      },
    ],
  },
  {
    kind: 'firstEvent',
    requestId: 'r',
    upstreamId: 'u',
    service: 's',
    softwareVersion: 'v1',
  },
  {kind: 'firstEvent', requestId: 'r', upstreamId: 'u', service: 's'},
];

const messageWith = (...updates: LedgerUpdate[]): LedgerMessage => ({
  fleetId: 'f',
  instance: 'front-1',
  startedAtMs: 1,
  slewedWallMs: 2,
  status: {isStopping: false, hasSeenDutyHeld: true},
  isBetweenGroups: false,
  updates,
});

describe('encodeLedgerMessage', () => {
  for (const update of UPDATES) {
    it(`keeps an update of kind ${update.kind}`, () => {
      const message = messageWith(update);
      expect(decodeLedgerMessage(encodeLedgerMessage(message))).toEqual(
        message,
      );
    });
  }

  it('keeps several updates in order, and that the sender is stopping', () => {
    const status = {isStopping: true, hasSeenDutyHeld: false};
    const updates: LedgerUpdate[] = [
      ...UPDATES,
      {kind: 'ended', requestId: 'r2', upstreamId: 'u', hasFailed: undefined},
    ];
    const message = {...messageWith(...updates), status};
    expect(decodeLedgerMessage(encodeLedgerMessage(message))).toEqual(message);
  });

  it('keeps that the message is for other groups', () => {
    const message = {...messageWith(UPDATES[0]), isBetweenGroups: true};
    expect(decodeLedgerMessage(encodeLedgerMessage(message))).toEqual(message);
  });

  it('keeps the end of a limit', () => {
    const message = messageWith({
      kind: 'limit',
      upstreamId: 'u',
      startedAtWallMs: 7,
      limitPerS: undefined,
    });
    const decoded = decodeLedgerMessage(encodeLedgerMessage(message));
    expect(decoded?.updates[0]).toEqual(message.updates[0]);
  });
});

describe('an update with the usage of many organisations', () => {
  it('fits into one datagram', () => {
    const sums = Array.from({length: 32}, (_, i) => ({
      organisation: `bocu5${i + 100}`,
      urgency: 3,
      demandPerS: 12_345.678,
      usagePerS: 12_345.678,
      usualPerS: 12_345.678,
    }));
    const message = messageWith({
      kind: 'usage',
      service: 'deda23a',
      gateways: 32,
      maturity: 31.999999,
      ageMs: 999,
      sums,
    });
    expect(encodeLedgerMessage(message).length <= 1_300).toEqual(true);
  });
});

describe('decodeLedgerMessage', () => {
  it('skips updates of kinds that a later version may send', () => {
    const [first] = UPDATES;
    const text = encodeLedgerMessage(messageWith(first)).toString();
    const changed = text.replace('[["p"', '[["?",1],["p"');
    expect(decodeLedgerMessage(Buffer.from(changed))?.updates).toEqual([first]);
  });

  it('returns undefined for a payload that is not a valid message', () => {
    for (const text of ['', 'x', '[]', '["f","a",1,2,0,[["p"]]]', '{"a":1}']) {
      expect(decodeLedgerMessage(Buffer.from(text))).toEqual(undefined);
    }
  });

  it('rejects a message whose update lacks a field', () => {
    const text = encodeLedgerMessage(messageWith(UPDATES[1])).toString();
    const changed = text.replace('["f","r","u"]', '["f","r"]');
    expect(decodeLedgerMessage(Buffer.from(changed))).toEqual(undefined);
  });
});
