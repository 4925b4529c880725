import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {checkServiceText, formatCheckFinding} from '../src/index.js';

function readExample(name: string): string {
  const url = new URL(`../../../examples/${name}.yaml`, import.meta.url);
  return readFileSync(url, 'utf8');
}

/** A text with one of each warning; the comments state the rule. */
const TEXT_WITH_WARNINGS = `availabilityZones: [{name: zone-a, region: region-a}]
services:
  - name: answers
    kind: engine
    models: [m]
    maxRunning: 4
    upstreams: [{availabilityZone: zone-a, min: 2, max: 2}]
  - name: stock
    kind: plain
    maxRunning: 4
    upstreams: # service-without-upstreams
      - {availabilityZone: zone-a, min: 0, max: 0}
  - {name: archive, kind: plain, maxRunning: 4} # service-never-matches
requestClasses:
  - name: chat
    service: answers
    tier: 0
    isDefault: true
    targets:
      firstTokenMs: 9000 # target-over-answer
      answerMs: 5000
  - name: batch
    service: answers
    tier: 1
    isDefault: true # default-never-applies
    minShare: 0.5 # limits-below-share
    targets: {}
  - {name: stock, service: stock, tier: 0, targets: {}}
  - {name: unused, service: stock, tier: 1, targets: {}} # class-never-matches
organisations: [{name: org-one, maxRunning: 3}]
routes:
  - {path: /stock, methods: [GET], requestClass: stock, idempotent: true}
  - {path: /stock?a, methods: [GET], requestClass: stock, idempotent: true} # route-never-matches
`;

describe('checkServiceText', () => {
  describe('of a text without errors', () => {
    // Guards against warnings about texts that are in use as they are.
    for (const name of ['drws_cymru', 'paletta_viva']) {
      it(`finds nothing in ${name}`, () => {
        const {findings, serviceText} = checkServiceText(readExample(name));
        expect(findings).toEqual([]);
        expect(serviceText === undefined).toEqual(false);
      });
    }

    // Guards against a check that is lost or locates its finding elsewhere.
    it('reports one warning of each rule, each on the line that causes it', () => {
      const {findings} = checkServiceText(TEXT_WITH_WARNINGS);
      const expected = TEXT_WITH_WARNINGS.split('\n').flatMap((text, index) => {
        const rule = /# ([a-z-]+)$/.exec(text)?.[1];
        // A list is located at its first item.
        const lineOffset = rule === 'service-without-upstreams' ? 2 : 1;
        return rule ? [`${index + lineOffset} ${rule}`] : [];
      });
      const actual = findings.map(({line, rule}) => `${line} ${rule}`);
      expect(actual.sort()).toEqual(expected.sort());
      expect(findings.every(({level}) => level === 'warning')).toEqual(true);
    });

    // Guards against a warning that makes the acceptance refuse a text.
    it('returns the parsed text also if there are warnings', () => {
      const {serviceText} = checkServiceText(TEXT_WITH_WARNINGS);
      expect(serviceText?.services.length).toEqual(3);
    });
  });

  describe('of a text with errors', () => {
    // Guards against errors that are reported as warnings, or without position.
    it('reports errors with line and column and no parsed text', () => {
      const source = TEXT_WITH_WARNINGS.replace(
        'minShare: 0.5',
        'minShare: 1.1',
      );
      const {findings, serviceText} = checkServiceText(source);
      expect(serviceText).toEqual(undefined);
      expect(findings.length).toEqual(1);
      expect(formatCheckFinding(findings[0], 'text.yaml')).toMatchRegex(
        /^text\.yaml:26:15: error: requestClasses\.1\.minShare: /,
      );
    });
  });
});
