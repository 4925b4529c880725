import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createPartQuarantine,
  type EvidenceItem,
  type PartQuarantine,
} from '../src/index.js';

const MINUTE_MS = 60_000;

describe('createPartQuarantine', () => {
  let nowMs: number;
  let isTrialGateway: boolean;
  let sent: EvidenceItem[];
  let quarantine: PartQuarantine;
  const start = () =>
    createPartQuarantine({
      nowMs: () => nowMs,
      isTrialGateway: () => isTrialGateway,
      onItem: item => sent.push(item),
      onQuarantined: () => undefined,
      onReleased: () => undefined,
    });
  beforeEach(() => {
    nowMs = 1_000_000;
    isTrialGateway = true;
    sent = [];
    quarantine = start();
  });

  let crashes = 0;
  const reportCrash = (upstream: number, atMs: number, partIds: string[]) =>
    quarantine.record(
      {
        kind: 'crash',
        upstreamId: `u${upstream}`,
        startedAtWallMs: 0,
        atMs,
        parts: partIds.map((id, depth) => ({id, depth})),
      },
      'own',
    );
  const crashAt = (atMs: number, ...partIds: string[]) =>
    reportCrash(crashes++, atMs, partIds);
  const settle = () => {
    nowMs += 400;
    quarantine.evaluate();
  };
  const crash = (...partIds: string[]) => {
    nowMs += 2_000;
    crashAt(nowMs, ...partIds);
    settle();
  };
  /** Reports one crash, of which two gateways had a request each. */
  const crashOfTwoGateways = (one: string, other: string) => {
    nowMs += 2_000;
    crashAt(nowMs, one);
    reportCrash(crashes - 1, nowMs, [other]);
    settle();
  };
  const partsOf = (...ids: string[]) => ids.map(id => ({id, tokens: 1}));
  const isRefused = (...ids: string[]) =>
    quarantine.check(partsOf(...ids, 'own')) !== undefined;

  describe('decision', () => {
    it('holds the one part that all crashes have in common for harmful', () => {
      crash('bad', 'p');
      crash('bad', 'q');
      expect(isRefused('bad')).toEqual(false);
      crash('bad', 'r');
      expect(isRefused('first', 'bad')).toEqual(true);
      expect(isRefused('p')).toEqual(false);
    });

    it('waits for more crashes while parts at one position explain them equally well', () => {
      for (let i = 0; i < 4; i++) crashOfTwoGateways('bad', 'p');
      expect(isRefused('bad')).toEqual(false);
      quarantine.recordAnswer(partsOf('p', 'own'));
      crash('bad');
      expect(isRefused('bad')).toEqual(true);
      expect(isRefused('p')).toEqual(false);
    });

    it('blames the part furthest into the prompt if none of them was ever answered', () => {
      for (let i = 0; i < 3; i++) crash('first', 'bad');
      expect(isRefused('first', 'bad')).toEqual(true);
      expect(isRefused('first')).toEqual(false);
    });

    it('blames the first part if the parts behind it differ', () => {
      for (let i = 0; i < 3; i++) crash('first', `p${i}`);
      expect(isRefused('first', 'q')).toEqual(true);
    });

    it('does not blame a part for upstreams that were killed at one moment', () => {
      for (let i = 0; i < 6; i++) crashAt(nowMs, 'popular');
      settle();
      expect(isRefused('popular')).toEqual(false);
    });

    it('does not blame a part that was lost in a few of many crashes', () => {
      for (let i = 0; i < 12; i++) crash(i % 4 === 0 ? 'unlucky' : `p${i}`);
      expect(isRefused('unlucky')).toEqual(false);
    });

    it('does not blame parts that were lost together with a harmful one', () => {
      for (let i = 0; i < 6; i++) crash('bad', ...(i > 1 ? ['rare'] : []));
      expect(isRefused('bad')).toEqual(true);
      expect(isRefused('rare')).toEqual(false);
    });

    it('blames a part that was answered before only after crashes at different times', () => {
      quarantine.recordAnswer(partsOf('popular', 'own'));
      for (let i = 0; i < 4; i++) crash('popular');
      expect(isRefused('popular')).toEqual(false);
      crash('popular');
      expect(isRefused('popular')).toEqual(true);
    });

    it('ignores the last part, which belongs to its request alone', () => {
      for (let i = 0; i < 3; i++) crash('bad');
      expect(quarantine.check(partsOf('p', 'bad'))).toEqual(undefined);
    });

    it('suspects a part after one crash, until it is answered', () => {
      crash('p');
      expect(quarantine.isSuspected(partsOf('p', 'own'))).toEqual(true);
      quarantine.recordAnswer(partsOf('p', 'own'));
      expect(quarantine.isSuspected(partsOf('p', 'own'))).toEqual(false);
    });
  });

  describe('end of a quarantine', () => {
    beforeEach(() => {
      for (let i = 0; i < 5; i++) crash('bad');
    });

    it('comes with an answer to a trial, which only one request is', () => {
      nowMs += 11 * MINUTE_MS;
      expect(isRefused('bad')).toEqual(false);
      expect(isRefused('bad')).toEqual(true);
      quarantine.recordAnswer(partsOf('bad', 'own'));
      quarantine.evaluate();
      expect(isRefused('bad')).toEqual(false);
    });

    it('does not come with a trial that crashes an upstream', () => {
      nowMs += 11 * MINUTE_MS;
      expect(isRefused('bad')).toEqual(false);
      crash('bad');
      expect(isRefused('bad')).toEqual(true);
      nowMs += 5 * MINUTE_MS;
      expect(isRefused('bad')).toEqual(true);
    });

    it('may come soon if few crashes speak for it', () => {
      for (let i = 0; i < 3; i++) crash('p');
      expect(isRefused('p')).toEqual(true);
      nowMs += 31_000;
      expect(isRefused('p')).toEqual(false);
      expect(isRefused('bad')).toEqual(true);
    });

    it('does not come soon if some of many crashes came at one moment', () => {
      for (let i = 0; i < 3; i++) crash('p');
      for (let i = 0; i < 3; i++) crashAt(nowMs, 'p');
      settle();
      nowMs += 31_000;
      expect(isRefused('p')).toEqual(true);
    });

    it('needs a trial by the gateway that is chosen for it', () => {
      isTrialGateway = false;
      nowMs += 11 * MINUTE_MS;
      expect(isRefused('bad')).toEqual(true);
    });
  });

  describe('evidence', () => {
    it('lets a gateway that has just started know harmful parts', () => {
      for (let i = 0; i < 3; i++) crash('bad');
      const items = quarantine.items();
      quarantine = start();
      items.forEach(item => quarantine.record(item, 'other'));
      expect(isRefused('bad')).toEqual(true);
    });

    it('is the same in whatever order it arrives, and however often', () => {
      for (let i = 0; i < 3; i++) crash('bad', `p${i}`);
      quarantine.recordAnswer(partsOf('p1', 'own'));
      const other = start();
      for (const item of [...sent, ...sent].reverse()) {
        other.record(item, 'other');
      }
      other.evaluate();
      expect(other.harmfulParts()).toEqual(quarantine.harmfulParts());
    });

    it('that a peer answered a part arrives with the report of a crash', () => {
      quarantine.recordAnswer(partsOf('p', 'own'));
      sent = [];
      quarantine.record(
        {
          kind: 'crash',
          upstreamId: 'x',
          startedAtWallMs: 0,
          atMs: nowMs,
          parts: [
            {id: 'p', depth: 0},
            {id: 'bad', depth: 1},
          ],
        },
        'other',
      );
      expect(sent.map(({kind}) => kind)).toEqual(['answer']);
    });

    it('stays bounded when thousands of parts are lost', () => {
      for (let i = 0; i < 2_000; i++) crash(`a${i}`, `b${i}`);
      expect(quarantine.items().length <= 64).toEqual(true);
    });
  });
});
