import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {collectRequestLog, formatRequestLog} from '../src/explain_request.js';

const LINES = [
  '3.2 front-b level=info time=2026-03-01T10:00:00.300Z event=call_ended requestId=r1 outcome=served status=200',
  '3.0 front-b level=info time=2026-03-01T10:00:00.010Z event=call_admitted requestId=r1 route=digest configAgeMs=420',
  '3.0 front-b level=info time=2026-03-01T10:00:00.020Z event=call_admitted requestId=r2 route=query',
  '3.1 front-b level=info time=2026-03-01T10:00:00.120Z event=attempt_ended requestId=r1 outcome=unknown reason="read ECONNRESET" durationMs=90',
  '3.1 front-b level=info time=2026-03-01T10:00:00.1',
  'not a log line',
];

const MAIN = fileURLToPath(new URL('../src/main.ts', import.meta.url));

function run(args: string[], input = '') {
  return spawnSync(
    process.execPath,
    ['--import', 'tsx', '--conditions=sardinestile-source', MAIN, ...args],
    {input, encoding: 'utf8'},
  );
}

describe('sardinestile explain', () => {
  it('prints the lines of one request in time order and counts unparsable lines', async () => {
    const log = await collectRequestLog(LINES, 'r1');
    expect(log.lines.map(({event}) => event)).toEqual([
      'call_admitted',
      'attempt_ended',
      'call_ended',
    ]);
    expect(log.unparsed).toEqual(2);
    expect(formatRequestLog(log)).toEqual(
      [
        '     +0ms 3.0 front-b call_admitted route=digest configAgeMs=420',
        '   +110ms 3.1 front-b attempt_ended outcome=unknown reason=read ECONNRESET durationMs=90',
        '   +290ms 3.2 front-b call_ended outcome=served status=200',
        '2 line(s) could not be parsed',
        '',
      ].join('\n'),
    );
  });

  it('exits with code 6 for an unknown request', () => {
    const {status, stderr} = run(['explain', 'r9'], LINES.join('\n'));
    expect(status).toEqual(6);
    expect(stderr).toEqual(expect.includes('found no log line of request r9'));
  });
});

describe('sardinestile settings check', () => {
  it('lists every finding with the name of its setting', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.toml');
    writeFileSync(
      file,
      'node_name = 3\n[limits]\nmemory_mb = -1\n[bounds]\ndrain_ms = "x"\n',
    );
    const {status, stderr} = run(['settings', 'check', file]);
    expect(status).toEqual(2);
    for (const setting of [
      'node_name:',
      'limits.memory_mb:',
      'bounds.drain_ms:',
      'ip:',
      'platform:',
    ]) {
      expect(stderr).toEqual(expect.includes(setting));
    }
  });

  it('reports line and column of a TOML syntax error', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.toml');
    writeFileSync(file, 'node_name = "a"\nzone = = 3\n');
    const {status, stderr} = run(['settings', 'check', file]);
    expect(status).toEqual(2);
    expect(stderr).toEqual(expect.includes('line 2, column 8'));
  });
});
