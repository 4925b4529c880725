import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';

const MAIN = fileURLToPath(new URL('../src/main.ts', import.meta.url));
const EXAMPLE = fileURLToPath(
  new URL('../../../examples/paletta_viva.yaml', import.meta.url),
);

const COMMAND = [
  ...['--import', 'tsx', '--conditions=sardinestile-source', MAIN],
  ...['config', 'check'],
];

function check(...args: string[]) {
  return spawnSync(process.execPath, [...COMMAND, ...args], {
    encoding: 'utf8',
  });
}

function writeFile(name: string, content: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'config-check-')), name);
  writeFileSync(file, content);
  return file;
}

function writeEditedExample(search: string, replacement: string): string {
  const source = readFileSync(EXAMPLE, 'utf8');
  return writeFile('text.yaml', source.replace(search, replacement));
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

  describe('compares with another version', () => {
    // Guards against differences that count as findings, which would stop a
    // script at every change.
    it('prints differences from a file and exits with 0', () => {
      const file = writeEditedExample('requestsPerSecond: 20', 'maxRunning: 8');
      const {status, stdout} = check(file, '--against', EXAMPLE);
      expect(status).toEqual(0);
      expect(stdout).toEqual(
        expect.includes(
          'changed organisations "riso-pavia" (requestsPerSecond, maxRunning): ',
        ),
      );
    });

    // Guards against a comparison with a text that was not understood.
    it('exits with 3 if the other version has errors', () => {
      const other = writeEditedExample('tier: 0', 'tier: 7');
      const {status, stderr} = check(EXAMPLE, '--against', other);
      expect(status).toEqual(3);
      expect(stderr).toEqual(expect.includes('cannot be compared with'));
    });

    // Guards against a missing address that is reported as unreachable.
    it('exits with 2 if the administration API is not configured', () => {
      const {status, stderr} = check(EXAMPLE, '--against-current');
      expect(status).toEqual(2);
      expect(stderr).toEqual(expect.includes('needs --admin-url'));
    });

    // Guards against a wrong path, key or response format of the API.
    it('reads the version in force and the keys from the administration API', async () => {
      const responses: Record<string, string> = {
        '/admin/v1/text': readFileSync(EXAMPLE, 'utf8'),
        '/admin/v1/keys': '[{"keyId":"k1","organisation":"riso-pavia"}]',
      };
      const server = createServer(({url = '', headers}, response) => {
        const isAuthorized = headers.authorization === 'Bearer admin-key';
        response.writeHead(isAuthorized ? 200 : 401).end(responses[url]);
      });
      await once(server.listen(0, '127.0.0.1'), 'listening');
      const {port} = server.address() as AddressInfo;
      const file = writeEditedExample('tier: 2', 'tier: 1');
      const child = spawn(process.execPath, [
        ...COMMAND,
        ...[file, '--against-current', '--json', '--admin-key', 'admin-key'],
        ...['--admin-url', `http://127.0.0.1:${port}`],
      ]);
      const [stdout, [status]] = await Promise.all([
        text(child.stdout),
        once(child, 'exit'),
      ]);
      server.close();
      expect(status).toEqual(3);
      const report = JSON.parse(stdout) as {
        findings: Array<{rule: string}>;
        differences: object[];
      };
      expect(report.findings.map(({rule}) => rule)).toEqual(
        Array.from({length: 9}, () => 'organisation-without-key'),
      );
      expect(report.differences).toEqual([
        expect.subset({kind: 'changed', entry: 'statistics', fields: ['tier']}),
      ]);
    });
  });
});
