import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {formatFinding, parseServiceText} from '../src/index.js';

function readExample(name: string): string {
  const url = new URL(`../../../examples/${name}.yaml`, import.meta.url);
  return readFileSync(url, 'utf8');
}

describe('parseServiceText', () => {
  for (const name of ['drws_cymru', 'paletta_viva']) {
    it(`accepts ${name}`, () => {
      expect(parseServiceText(readExample(name)).isOk()).toEqual(true);
    });
  }

  it('reports all schema findings together, each with its position', () => {
    const text = readExample('drws_cymru')
      .replace('tier: 0', 'tier: 7')
      .replace('weight: 2', 'weight: -1')
      .replace('kind: engine', 'kind: motor');
    const findings = parseServiceText(text).unwrapErr();
    expect(findings.map(finding => finding.path).sort()).toEqual([
      'organisations.2.weight',
      'requestClasses.0.tier',
      'services.0.kind',
    ]);
    for (const {line, column, path} of findings) {
      const source = text.split('\n')[line - 1].slice(column - 1);
      expect(source.startsWith(path.endsWith('kind') ? 'motor' : '')).toEqual(
        true,
      );
    }
  });

  it('reports references to unknown names', () => {
    const text = readExample('paletta_viva')
      .replace('dependsOn: [depot]', 'dependsOn: [nowhere]')
      .replace(
        'requestClass: stock, idempotent: true',
        'requestClass: none, idempotent: true',
      );
    const messages = parseServiceText(text)
      .unwrapErr()
      .map(finding => formatFinding(finding, 'text.yaml'));
    expect(messages.length).toEqual(2);
    expect(messages[0]).toMatchRegex(/^text\.yaml:\d+:\d+: .*"nowhere"/);
  });

  it('reports each service on a dependency cycle', () => {
    const text = readExample('paletta_viva').replace(
      '- name: depot\n',
      '- name: depot\n    dependsOn: [assessment]\n',
    );
    const findings = parseServiceText(text).unwrapErr();
    expect(findings.length).toEqual(2);
  });

  it('reports the line of a syntax error', () => {
    const [finding] = parseServiceText('a: [1\nb: 2').unwrapErr();
    expect(finding.line).toEqual(2);
  });
});
