import {beforeEach, describe, it} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {
  createQuarantine,
  createRequestProfile,
  splitCrash,
  toSharedParts,
  type EvidenceItem,
  type RequestProfile,
  type SharedPart,
  type Quarantine,
} from '../src/index.js';

const MINUTE_MS = 60_000;

/** Returns the profile of a request. */
const requestOf = (body: string, ...partIds: string[]) =>
  createRequestProfile({
    host: 'calls.example',
    path: '/x',
    organisation: 'org-one',
    body: Buffer.from(body),
    promptParts: partIds.map(id => ({id, tokens: 1})),
  });

describe('createQuarantine', () => {
  let nowMs: number;
  let isTrialGateway: boolean;
  let sent: EvidenceItem[];
  let quarantine: Quarantine;
  const start = () =>
    createQuarantine({
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
  let promptNumber = 0;
  const reportParts = (upstream: number, atMs: number, parts: SharedPart[]) =>
    quarantine.record(
      {
        kind: 'crash',
        upstreamId: `u${upstream}`,
        startedAtWallMs: 0,
        atMs,
        parts,
      },
      'own',
    );
  const reportCrash = (upstream: number, atMs: number, partIds: string[]) =>
    reportParts(
      upstream,
      atMs,
      partIds.map((id, depth) => ({id, depth})),
    );
  const crashOf = (parts: SharedPart[]) => reportParts(crashes++, nowMs, parts);
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
  /** Returns a request with a prompt of these parts that is like no other one. */
  const promptOf = (...ids: string[]) =>
    requestOf(`body ${promptNumber++}`, ...ids);
  const isRefused = (...ids: string[]) =>
    quarantine.check(promptOf(...ids, 'own')) !== undefined;

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
      quarantine.recordAnswer(promptOf('p', 'own'));
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

    itOrKnownRed(
      'blames a harmful part beside one that met more of many crashes by chance',
      () => {
        for (let i = 0; i < 16; i++) crash(i % 4 === 0 ? 'unlucky' : `p${i}`);
        for (let i = 0; i < 3; i++) crash('bad');
        expect(isRefused('unlucky')).toEqual(false);
        expect(isRefused('bad')).toEqual(true);
      },
    );

    it('does not blame parts that were lost together with a harmful one', () => {
      for (let i = 0; i < 6; i++) crash('bad', ...(i > 1 ? ['rare'] : []));
      expect(isRefused('bad')).toEqual(true);
      expect(isRefused('rare')).toEqual(false);
    });

    it('blames a part that was answered before only after crashes at different times', () => {
      quarantine.recordAnswer(promptOf('popular', 'own'));
      for (let i = 0; i < 4; i++) crash('popular');
      expect(isRefused('popular')).toEqual(false);
      crash('popular');
      expect(isRefused('popular')).toEqual(true);
    });

    it('ignores the last part, which belongs to its request alone', () => {
      for (let i = 0; i < 3; i++) crash('bad');
      expect(quarantine.check(promptOf('p', 'bad'))).toEqual(undefined);
    });

    it('suspects a part after one crash, until it is answered', () => {
      crash('p');
      expect(quarantine.isSuspected(promptOf('p', 'own'))).toEqual(true);
      quarantine.recordAnswer(promptOf('p', 'own'));
      expect(quarantine.isSuspected(promptOf('p', 'own'))).toEqual(false);
    });
  });

  describe('decision about a request', () => {
    const lookup = () => requestOf('bad lookup');
    const crashUnder = (...requests: RequestProfile[]) => {
      nowMs += 2_000;
      crashOf(requests.flatMap(toSharedParts));
      settle();
    };

    it('holds a request for harmful after three crashes, and no other request', () => {
      crashUnder(lookup(), requestOf('a'));
      crashUnder(lookup(), requestOf('b'));
      expect(quarantine.check(lookup())).toEqual(undefined);
      crashUnder(lookup(), requestOf('c'));
      expect(quarantine.check(lookup())?.part.crashes).toEqual(3);
      expect(quarantine.check(requestOf('a'))).toEqual(undefined);
    });

    it('holds two harmful requests at the same upstreams for harmful', () => {
      const other = () => requestOf('another bad lookup');
      for (let i = 0; i < 3; i++) crashUnder(lookup(), other());
      expect(quarantine.check(lookup()) !== undefined).toEqual(true);
      expect(quarantine.check(other()) !== undefined).toEqual(true);
    });

    it('blames the request, not the prompt parts that it alone has', () => {
      const stream = () => requestOf('bad stream', 'first', 'subject', 'own');
      for (let i = 0; i < 3; i++) crashUnder(stream());
      expect(quarantine.check(stream()) !== undefined).toEqual(true);
      expect(isRefused('first', 'subject')).toEqual(false);
    });

    it('blames a prompt part that several harmful requests share', () => {
      for (let i = 0; i < 3; i++) crashUnder(requestOf('one', 'bad', 'own'));
      for (let i = 0; i < 2; i++) crashUnder(requestOf('two', 'bad', 'own'));
      expect(isRefused('bad')).toEqual(true);
    });

    it('does not blame a request that was answered after one of three crashes', () => {
      crashUnder(lookup());
      quarantine.recordAnswer(lookup());
      for (let i = 0; i < 2; i++) crashUnder(lookup());
      expect(quarantine.check(lookup())).toEqual(undefined);
    });

    it('does not blame a popular request for upstreams that were killed at one moment', () => {
      for (let i = 0; i < 6; i++) crashOf(toSharedParts(lookup()));
      settle();
      expect(quarantine.check(lookup())).toEqual(undefined);
    });

    it('remembers answers to requests with large bodies only while requests are suspected', () => {
      const large = () => requestOf('x'.repeat(50_000));
      quarantine.recordAnswer(large());
      crashUnder(large());
      expect(sent.some(({kind}) => kind === 'answer')).toEqual(false);
      quarantine.recordAnswer(large());
      expect(sent.some(({kind}) => kind === 'answer')).toEqual(true);
    });

    it('suspects a request after two crashes, until it is answered', () => {
      crashUnder(lookup());
      expect(quarantine.isSuspected(lookup())).toEqual(false);
      crashUnder(lookup());
      expect(quarantine.isSuspected(lookup())).toEqual(true);
      quarantine.recordAnswer(lookup());
      expect(quarantine.isSuspected(lookup())).toEqual(false);
    });

    it('tries a harmful request at most three times in a day', () => {
      for (let i = 0; i < 3; i++) crashUnder(lookup());
      let trials = 0;
      for (let minute = 0; minute < 23 * 60; minute++) {
        nowMs += MINUTE_MS;
        if (quarantine.check(lookup())) continue;
        trials++;
        crashUnder(lookup());
      }
      expect(trials).toEqual(3);
    });

    it('tries one that was answered before after half a minute', () => {
      quarantine.recordAnswer(lookup());
      for (let i = 0; i < 5; i++) crashUnder(lookup());
      expect(quarantine.check(lookup()) !== undefined).toEqual(true);
      nowMs += 31_000;
      expect(quarantine.check(lookup())).toEqual(undefined);
      quarantine.recordAnswer(lookup());
      quarantine.evaluate();
      expect(quarantine.check(lookup())).toEqual(undefined);
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
      quarantine.recordAnswer(promptOf('bad', 'own'));
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
      quarantine.recordAnswer(promptOf('p1', 'own'));
      const other = start();
      for (const item of [...sent, ...sent].reverse()) {
        other.record(item, 'other');
      }
      other.evaluate();
      expect(other.harmfulParts()).toEqual(quarantine.harmfulParts());
    });

    it('that a peer answered a part arrives with the report of a crash', () => {
      quarantine.recordAnswer(promptOf('p', 'own'));
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

    it('of a crash with many requests merges to the same from pieces', () => {
      const parts = Array.from({length: 100}, (_, i) => ({
        id: `p${i}`,
        depth: i,
      }));
      const crashItem: EvidenceItem = {
        kind: 'crash',
        upstreamId: 'x',
        startedAtWallMs: 0,
        atMs: nowMs,
        parts,
      };
      const pieces = splitCrash(crashItem);
      expect(pieces.length).toEqual(3);
      pieces.forEach(piece => quarantine.record(piece, 'other'));
      const whole = start();
      whole.record(crashItem, 'other');
      expect(quarantine.items()).toEqual(whole.items());
    });

    it('stays bounded when thousands of parts are lost', () => {
      for (let i = 0; i < 2_000; i++) crash(`a${i}`, `b${i}`);
      expect(quarantine.items().length <= 64).toEqual(true);
    });
  });
});
