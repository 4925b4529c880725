import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  parseSettings,
  SETTINGS_PATH_VARIABLE,
  type PlatformSettings,
} from '@sardinestile/adapter_platform';
import {SardinestileError} from '@sardinestile/errors';
import type {Logger} from '@sardinestile/logger';

/** Interval at which a file that cannot be used is read again, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** Options for waitForSettings. */
export interface WaitForSettingsOptions {
  path: string;
  logger: Logger;
  /** Time after which a file that cannot be used is an error, in milliseconds. */
  limitMs: number;
  /** Ends the wait, which rejects with its reason. */
  signal: AbortSignal;
}

/** A settings file that can be used. */
export interface UsableSettings {
  text: string;
  settings: PlatformSettings;
}

/**
 * Reads a settings file until it can be used, as it may be written while this process
 * starts. Rejects with the `SETTINGS_INVALID` error of the last reading at the limit.
 */
export async function waitForSettings(
  options: WaitForSettingsOptions,
): Promise<UsableSettings> {
  const {path, logger, limitMs, signal} = options;
  const startedAtMs = performance.now();
  const waitedMs = () => Math.round(performance.now() - startedAtMs);
  let loggedReason: string | undefined;
  for (;;) {
    signal.throwIfAborted();
    try {
      const text = readSettingsFile(path);
      const settings = parseSettings(text, path);
      if (loggedReason !== undefined) {
        logger.info('settings_found', {path, waitMs: waitedMs()});
      }
      return {text, settings};
    } catch (error) {
      if (!(error instanceof SardinestileError)) throw error;
      if (waitedMs() >= limitMs) throw error;
      if (error.message !== loggedReason) {
        logger.warn('settings_waiting', {path, reason: error.message});
      }
      loggedReason = error.message;
    }
    // The loop checks whether the signal ended the wait.
    await sleep(RETRY_INTERVAL_MS, undefined, {signal}).catch(() => undefined);
  }
}

function readSettingsFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SardinestileError({
      code: 'SETTINGS_INVALID',
      message: `${path} cannot be read: ${(error as Error).message}`,
      hint: `Set ${SETTINGS_PATH_VARIABLE} to the path of the settings file.`,
      cause: error,
    });
  }
}
