import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, describe, it} from 'node:test';
import type {PlatformSettings} from '@sardinestile/adapter_platform';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {followSettings, type FollowedSettings} from '../src/follow_settings.js';

const SETTINGS = `
node_name = "front-1"
machine_class = "front"
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [7200, 7209]
heartbeat_ms = 1200
[listen]
front = "127.0.0.1:8740"
[limits]
memory_mb = 200
max_fds = 1000
[bounds]
reuse_after_s = 2
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
lease_ms = 3000
report_window_s = 5
usage_late_s = 10
[platform]
address = "127.0.0.1:1"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
`;

/** Time in which a change without a signal is seen, in milliseconds; the file is looked at each second. */
const NOTICED_MS = 5_000;

describe('followSettings', () => {
  let followed: FollowedSettings | undefined;
  afterEach(() => followed?.stop());

  const start = () => {
    const path = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.toml');
    writeFileSync(path, SETTINGS);
    const seen: PlatformSettings[] = [];
    const lines: string[] = [];
    followed = followSettings({
      path,
      logger: createLogger({level: 'info', write: line => lines.push(line)}),
      onChanged: settings => seen.push(settings),
    });
    return {path, seen, lines};
  };
  const waitUntil = async (condition: () => boolean) => {
    const endMs = performance.now() + NOTICED_MS;
    while (!condition() && performance.now() < endMs) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect(condition()).toEqual(true);
  };

  it('takes a change at once when it is told to look', () => {
    const {path, seen, lines} = start();
    writeFileSync(
      path,
      SETTINGS.replace('revoke_ms = 5000', 'revoke_ms = 700'),
    );
    followed!.look();
    expect(seen.map(settings => settings.keyWithdrawalLimitMs)).toEqual([700]);
    expect(lines.join('')).toInclude('changed=keyWithdrawalLimitMs');
  });

  it('takes a change without a signal', async () => {
    const {path, seen} = start();
    writeFileSync(path, SETTINGS.replace('127.0.0.1:1"', '127.0.0.1:2"'));
    await waitUntil(() => seen.length === 1);
    expect(seen[0].store.address.port).toEqual(2);
  });

  it('keeps the last good settings where the file cannot be used, and says why', () => {
    const {path, seen, lines} = start();
    writeFileSync(path, SETTINGS.replace('drain_ms = 2000', 'drain_ms = "x"'));
    followed!.look();
    expect(seen).toEqual([]);
    expect(lines.join('')).toInclude('settings_rejected');
    expect(lines.join('')).toInclude('bounds.drain_ms');
  });
});
