import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {waitForSettings} from '../src/wait_for_settings.js';

const MINIMAL_SETTINGS = `
node_name = "front-1"
ip = "127.0.0.1"
port_range = [7200, 7209]
[listen]
front = "127.0.0.1:8740"
[platform]
address = "127.0.0.1:1"
`;

const LIMIT_MS = 300;

describe('waitForSettings', () => {
  let directory: string;
  let path: string;
  let lines: string[];
  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'settings-'));
    path = join(directory, 'local.toml');
    lines = [];
  });
  afterEach(() => rmSync(directory, {recursive: true}));

  const wait = (
    limitMs = LIMIT_MS,
    signal: AbortSignal = new AbortController().signal,
  ) =>
    waitForSettings({
      path,
      limitMs,
      signal,
      logger: createLogger({level: 'info', write: line => lines.push(line)}),
    });

  it('reads a file that is written later', async () => {
    const found = wait(5_000);
    await sleep(LIMIT_MS);
    writeFileSync(path, MINIMAL_SETTINGS);
    const {settings, text} = await found;
    expect(text).toEqual(MINIMAL_SETTINGS);
    expect(settings.instance).toEqual('front-1');
    expect(lines.map(line => /event=(\w+)/.exec(line)?.[1])).toEqual([
      'settings_waiting',
      'settings_found',
    ]);
  });

  it('gives up a file that stays absent, and names it', async () => {
    await expect(wait()).toBeRejectedWith(`${path} cannot be read`);
  });

  it('gives up a file that stays invalid, and lists its problems', async () => {
    writeFileSync(path, 'node_name = "a"\nip = 3\n');
    const error = await wait().catch((reason: Error) => reason);
    const {message} = error as Error;
    for (const field of ['ip:', 'port_range:', 'listen:', 'platform:']) {
      expect(message).toInclude(field);
    }
  });

  it('rejects with the reason of the signal that ends the wait', async () => {
    const controller = new AbortController();
    const reason = wait(60_000, controller.signal).catch(
      (error: unknown) => error,
    );
    controller.abort();
    expect(await reason).toEqual(controller.signal.reason);
  });
});
