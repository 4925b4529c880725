import {SardinestileError} from '@sardinestile/errors';

/** Creates the error for a change that expected another version than the current one. */
export function versionConflict(currentVersion: number): SardinestileError {
  return new SardinestileError({
    code: 'VERSION_CONFLICT',
    message: `version ${currentVersion} is in force`,
    hint: `Read version ${currentVersion}, repeat the edit there and apply it again.`,
  });
}
