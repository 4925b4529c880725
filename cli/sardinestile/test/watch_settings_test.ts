import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, describe, it} from 'node:test';
import type {PlatformSettings} from '@sardinestile/adapter_platform';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {watchSettings, type SettingsWatcher} from '../src/watch_settings.js';

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

/** Longest wait for a change to be reported; the file is read every second. */
const DETECTION_TIMEOUT_MS = 5_000;

describe('watchSettings', () => {
  let watcher: SettingsWatcher | undefined;
  afterEach(() => watcher?.stop());

  const start = () => {
    const path = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.toml');
    writeFileSync(path, SETTINGS);
    const reportedSettings: PlatformSettings[] = [];
    const logLines: string[] = [];
    watcher = watchSettings({
      path,
      initialText: SETTINGS,
      logger: createLogger({level: 'info', write: line => logLines.push(line)}),
      onChanged: settings => reportedSettings.push(settings),
    });
    return {path, reportedSettings, logLines};
  };
  const waitUntil = async (condition: () => boolean) => {
    const deadlineMs = performance.now() + DETECTION_TIMEOUT_MS;
    while (!condition() && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect(condition()).toEqual(true);
  };

  it('reports a change immediately on checkNow', () => {
    const {path, reportedSettings, logLines} = start();
    writeFileSync(
      path,
      SETTINGS.replace('revoke_ms = 5000', 'revoke_ms = 700'),
    );
    watcher!.checkNow();
    expect(
      reportedSettings.map(settings => settings.keyWithdrawalLimitMs),
    ).toEqual([700]);
    expect(logLines.join('')).toInclude('changed=keyWithdrawalLimitMs');
  });

  it('reports a change that was made before the watch began', () => {
    const path = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.toml');
    writeFileSync(
      path,
      SETTINGS.replace('revoke_ms = 5000', 'revoke_ms = 700'),
    );
    const reportedSettings: PlatformSettings[] = [];
    watcher = watchSettings({
      path,
      initialText: SETTINGS,
      logger: createLogger({level: 'silent'}),
      onChanged: settings => reportedSettings.push(settings),
    });
    watcher.checkNow();
    expect(
      reportedSettings.map(settings => settings.keyWithdrawalLimitMs),
    ).toEqual([700]);
  });

  it('reports a change without a call of checkNow', async () => {
    const {path, reportedSettings} = start();
    writeFileSync(path, SETTINGS.replace('127.0.0.1:1"', '127.0.0.1:2"'));
    await waitUntil(() => reportedSettings.length === 1);
    expect(reportedSettings[0].store.address.port).toEqual(2);
  });

  it('reports only changes of the field that it is narrowed to', () => {
    const {path, reportedSettings, logLines} = start();
    watcher!.narrowTo('store');
    const changed = SETTINGS.replace('revoke_ms = 5000', 'revoke_ms = 700');
    writeFileSync(path, changed);
    watcher!.checkNow();
    expect(reportedSettings).toEqual([]);
    expect(logLines).toEqual([]);
    writeFileSync(path, changed.replace('127.0.0.1:1"', '127.0.0.1:2"'));
    watcher!.checkNow();
    expect(reportedSettings.map(({store}) => store.address.port)).toEqual([2]);
  });

  it('reports no settings for an invalid file and logs the invalid value', () => {
    const {path, reportedSettings, logLines} = start();
    writeFileSync(path, SETTINGS.replace('drain_ms = 2000', 'drain_ms = "x"'));
    watcher!.checkNow();
    expect(reportedSettings).toEqual([]);
    expect(logLines.join('')).toInclude('settings_rejected');
    expect(logLines.join('')).toInclude('bounds.drain_ms');
  });
});
