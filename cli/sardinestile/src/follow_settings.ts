import {readFileSync} from 'node:fs';
import {
  parseSettings,
  type PlatformSettings,
} from '@sardinestile/adapter_platform';
import type {Logger} from '@sardinestile/logger';

/** Interval at which the file is looked at, in milliseconds; changes may come without a signal. */
const LOOK_INTERVAL_MS = 1_000;

/** What following a settings file needs. */
export interface FollowSettingsOptions {
  path: string;
  logger: Logger;
  /** Called with settings that are valid and differ. */
  onChanged: (settings: PlatformSettings) => void;
}

/** A settings file that is followed. */
export interface FollowedSettings {
  /** Looks at the file at once, for instance on SIGHUP. */
  look(): void;
  stop(): void;
}

/** Follows a settings file; one that cannot be used leaves the last good one in force. */
export function followSettings(
  options: FollowSettingsOptions,
): FollowedSettings {
  const {path, logger} = options;
  let text = readFileSync(path, 'utf8');
  let settings = parseSettings(text, path);
  const look = () => {
    try {
      const current = readFileSync(path, 'utf8');
      if (current === text) return;
      text = current;
      const next = parseSettings(current, path);
      const changed = changedFields(settings, next);
      settings = next;
      logger.info('settings_reloaded', {path, changed: changed.join(',')});
      options.onChanged(next);
    } catch (error) {
      const reason = (error as Error).message;
      logger.warn('settings_rejected', {path, reason});
    }
  };
  const timer = setInterval(look, LOOK_INTERVAL_MS);
  return {look, stop: () => clearInterval(timer)};
}

function changedFields(
  before: PlatformSettings,
  after: PlatformSettings,
): string[] {
  const names = Object.keys({...before, ...after}) as Array<
    keyof PlatformSettings
  >;
  return names.filter(
    name => JSON.stringify(before[name]) !== JSON.stringify(after[name]),
  );
}
