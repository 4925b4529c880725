import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  checkGrantedKeys,
  checkServiceText,
  compareVersions,
  formatDifference,
  TEXT_SECTIONS,
} from '../src/index.js';

const EXAMPLE = readFileSync(
  new URL('../../../examples/paletta_viva.yaml', import.meta.url),
  'utf8',
);

function parse(edit: (text: string) => string) {
  return checkServiceText(edit(EXAMPLE)).serviceText!;
}

const IN_FORCE = parse(text => text);

describe('compareVersions of service texts', () => {
  // Guards against differences between equal versions.
  it('returns nothing for equal texts and for another order of entries', () => {
    const reordered = {...IN_FORCE, routes: [...IN_FORCE.routes].reverse()};
    expect(compareVersions(TEXT_SECTIONS, IN_FORCE, reordered)).toEqual([]);
  });

  // Guards against a missed difference, and against a wrong effect of it.
  it('returns added, removed and changed entries with their effects', () => {
    const text = parse(source =>
      source
        .replace('name: riso-pavia, weight: 1', 'name: riso-nuovo, weight: 1')
        .replace('tier: 2', 'tier: 1')
        .replace('path: /stock, methods: [GET]', 'path: /stock, methods: [PUT]')
        .replace('[paletta-assessment]', '[paletta-assessment, paletta-b]'),
    );
    const lines = compareVersions(TEXT_SECTIONS, IN_FORCE, text).map(
      formatDifference,
    );
    expect(lines).toEqual([
      'changed services "assessment" (models): affects new requests only; others continue',
      'changed requestClasses "statistics" (tier): affects new and waiting requests; running ones continue',
      'added organisations "riso-nuovo": no effect until a key is granted',
      'removed organisations "riso-pavia": refuses new requests with its keys (invalid_key); those under way continue',
      'added routes "PUT /stock": affects new requests only',
      'removed routes "GET /stock": new requests get the next shorter path or are refused; those under way continue',
    ]);
  });
});

describe('checkGrantedKeys', () => {
  // Guards against a finding for an organisation that cannot have a key yet.
  it('reports unreferenced organisations in force, and keys without one', () => {
    const names = IN_FORCE.organisations.map(({name}) => name);
    const keys = names
      .filter(name => name !== 'mercato-verona')
      .map(name => ({keyId: `key-${name}`, organisation: name}));
    const text = parse(source =>
      source.replace('name: riso-pavia', 'name: riso-nuovo'),
    );
    const warnings = checkGrantedKeys(text, IN_FORCE, keys);
    expect(warnings.map(({rule, path}) => [rule, path])).toEqual([
      ['organisation-without-key', ['organisations', 2, 'name']],
      ['key-without-organisation', ['organisations']],
    ]);
  });
});
