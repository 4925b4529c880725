import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';

const MAIN = fileURLToPath(new URL('../src/main.ts', import.meta.url));
const EXAMPLE = fileURLToPath(
  new URL('../../../examples/paletta_viva.yaml', import.meta.url),
);

function check(...args: string[]) {
  return spawnSync(
    process.execPath,
    [
      ...['--import', 'tsx', '--conditions=sardinestile-source', MAIN],
      ...['config', 'check', ...args],
    ],
    {encoding: 'utf8'},
  );
}

function writeFile(name: string, content: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'config-check-')), name);
  writeFileSync(file, content);
  return file;
}

function writeEditedExample(search: string, replacement: string): string {
  const text = readFileSync(EXAMPLE, 'utf8');
  return writeFile('text.yaml', text.replace(search, replacement));
}

describe('sardinestile config check', () => {
  // Guards against an exit code that stops a script on a valid text.
  it('exits with 0 if there are no findings', () => {
    const {status, stdout} = check(EXAMPLE);
    expect(status).toEqual(0);
    expect(stdout).toEqual(`${EXAMPLE}: no findings\n`);
  });

  // Guards against errors or warnings that a script does not notice.
  const EDITS = [
    {level: 'error', search: 'tier: 0', replacement: 'tier: 7'},
    {level: 'warning', search: 'answerMs: 120000', replacement: 'answerMs: 1'},
  ];
  for (const {level, search, replacement} of EDITS) {
    it(`exits with 3 and prints the position of a finding of level ${level}`, () => {
      const file = writeEditedExample(search, replacement);
      const {status, stdout} = check(file);
      expect(status).toEqual(3);
      expect(stdout).toMatchRegex(/text\.yaml:\d+:\d+: /);
      expect(stdout).toEqual(expect.includes(` ${level}: `));
    });
  }

  // Guards against output that programs cannot parse.
  it('prints findings as JSON', () => {
    const file = writeEditedExample('tier: 0', 'tier: 7');
    const {status, stdout} = check(file, '--json');
    expect(status).toEqual(3);
    const {findings} = JSON.parse(stdout) as {findings: object[]};
    expect(findings).toEqual([
      expect.subset({level: 'error', path: 'requestClasses.0.tier'}),
    ]);
  });
});
