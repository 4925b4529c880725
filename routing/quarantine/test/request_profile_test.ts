import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createRequestProfile, type RequestContent} from '../src/index.js';

const CONTENT: RequestContent = {
  host: 'calls.example',
  path: '/lookup/7?full=1',
  organisation: 'org-one',
  body: Buffer.from('door'),
  promptParts: [],
};

const fingerprintOf = (change: Partial<RequestContent> = {}) =>
  createRequestProfile({...CONTENT, ...change}).fingerprint();

describe('createRequestProfile', () => {
  describe('fingerprint', () => {
    it('is equal for requests with equal path, caller and body', () => {
      expect(fingerprintOf({host: 'Calls.Example'})).toEqual(fingerprintOf());
    });

    const differences: ReadonlyArray<[string, Partial<RequestContent>]> = [
      ['host', {host: 'other.example'}],
      ['path', {path: '/lookup/8?full=1'}],
      ['query', {path: '/lookup/7'}],
      ['organisation', {organisation: 'org-two'}],
      ['lack of an organisation', {organisation: undefined}],
      ['body', {body: Buffer.from('gate')}],
      ['lack of a body', {body: null}],
    ];
    for (const [name, change] of differences) {
      it(`differs for another ${name}`, () => {
        expect(fingerprintOf(change)).not.toEqual(fingerprintOf());
      });
    }

    it('depends on the prompt parts of requests without a body', () => {
      const promptParts = [{id: 'aa@m', tokens: 10}];
      expect(fingerprintOf({promptParts})).toEqual(fingerprintOf());
      expect(fingerprintOf({promptParts, body: null})).not.toEqual(
        fingerprintOf({body: null}),
      );
    });
  });
});
