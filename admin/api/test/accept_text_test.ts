import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {checkServiceText} from '@sardinestile/checks';
import {createConfigReplica} from '@sardinestile/replica';
import {expect} from 'earl';
import fc from 'fast-check';
import {H3} from 'h3';
import {addAdminApi} from '../src/index.js';

const EXAMPLE = readFileSync(
  new URL('../../../examples/paletta_viva.yaml', import.meta.url),
  'utf8',
);

/** Edits that add errors, warnings or neither. */
const EDITS = [
  ['tier: 0', 'tier: 7'],
  ['minShare: 0.2', 'minShare: 0.9'],
  ['requestClass: stock', 'requestClass: nowhere'],
  ['answerMs: 120000', 'answerMs: 10'],
  ['models: [paletta-assessment]', 'models: []'],
  ['path: /depots', 'path: "/depots?"'],
  ['weight: 2', 'weight: 3'],
  ['kind: plain', 'kind: ['],
] as const;

async function putText(body: string) {
  const app = new H3();
  addAdminApi(app, {
    adminKey: 'k',
    replica: createConfigReplica(),
    store: {
      refresh: async () => {},
      append: async () => 1,
      history: async () => [],
    },
    readUsage: async () => [],
  });
  const headers = {authorization: 'Bearer k', 'if-match': '"0"'};
  return app.request('/admin/v1/text', {method: 'PUT', headers, body});
}

describe('PUT of a service text', () => {
  // Guards against a command and an acceptance that disagree, and against
  // warnings that refuse a text.
  it('accepts a text if and only if the checks find no error', async () => {
    const seenOutcomes = new Set<string>();
    await fc.assert(
      fc.asyncProperty(fc.subarray([...EDITS]), async edits => {
        const text = edits.reduce(
          (source, [search, replacement]) =>
            source.replace(search, replacement),
          EXAMPLE,
        );
        const {findings} = checkServiceText(text);
        const hasErrors = findings.some(({level}) => level === 'error');
        const {status} = await putText(text);
        expect(status).toEqual(hasErrors ? 422 : 200);
        seenOutcomes.add(`${status} ${findings.length > 0}`);
      }),
      // Random sets of edits seldom have no error; the examples cover each outcome.
      {numRuns: 200, examples: [[[]], [[EDITS[3]]], [[EDITS[0]]]]},
    );
    expect([...seenOutcomes].sort()).toEqual([
      '200 false',
      '200 true',
      '422 true',
    ]);
  });
});
