import {readFileSync} from 'node:fs';
import {
  parseSettings,
  type PlatformSettings,
} from '@sardinestile/adapter_platform';
import type {Logger} from '@sardinestile/logger';

/** The file is polled, as it may change without a SIGHUP. */
const POLL_INTERVAL_MS = 1_000;

/** Options for watchSettings. */
export interface WatchSettingsOptions {
  path: string;
  /** Content that is in force; the file may have changed since it was read. */
  initialText: string;
  logger: Logger;
  /** Called with the new settings after the file changed to valid content. */
  onChanged: (settings: PlatformSettings) => void;
}

/** A running watch of a settings file. */
export interface SettingsWatcher {
  /** Checks the file for changes immediately, for example on SIGHUP. */
  checkNow(): void;
  /** Reports only changes of this field from now on, for example while the process stops. */
  narrowTo(field: keyof PlatformSettings): void;
  /** Ends the watch. */
  stop(): void;
}

/**
 * Watches a settings file and reports valid changes. If the new content is
 * invalid, logs why and keeps the last valid settings. Throws if the initial
 * content is invalid.
 */
export function watchSettings(options: WatchSettingsOptions): SettingsWatcher {
  const {path, logger} = options;
  let text = options.initialText;
  let settings = parseSettings(text, path);
  let onlyField: keyof PlatformSettings | undefined;
  const checkNow = () => {
    try {
      const newText = readFileSync(path, 'utf8');
      if (newText === text) return;
      text = newText;
      const newSettings = parseSettings(newText, path);
      const changed = changedFields(settings, newSettings);
      settings = newSettings;
      if (onlyField && !changed.includes(onlyField)) return;
      logger.info('settings_reloaded', {path, changed: changed.join(',')});
      options.onChanged(newSettings);
    } catch (error) {
      const reason = (error as Error).message;
      logger.warn('settings_rejected', {path, reason});
    }
  };
  const timer = setInterval(checkNow, POLL_INTERVAL_MS);
  return {
    checkNow,
    narrowTo: field => (onlyField = field),
    stop: () => clearInterval(timer),
  };
}

function changedFields(
  before: PlatformSettings,
  after: PlatformSettings,
): Array<keyof PlatformSettings> {
  const names = Object.keys({...before, ...after}) as Array<
    keyof PlatformSettings
  >;
  return names.filter(
    name => JSON.stringify(before[name]) !== JSON.stringify(after[name]),
  );
}
