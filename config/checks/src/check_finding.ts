import type {TextPosition, ValuePath} from '@sardinestile/service_text';

/**
 * Levels of findings. Only an `error` prevents that a configuration is
 * accepted.
 */
export type FindingLevel = 'error' | 'warning';

/** A warning whose position is not yet determined. */
export interface UnlocatedWarning {
  /** Stable name of the check, for programs. */
  rule: string;
  path: ValuePath;
  message: string;
}

/** A finding about a configuration, with its position in the file. */
export interface CheckFinding extends TextPosition {
  level: FindingLevel;
  /** Stable name of the check, for programs. */
  rule: string;
  /** Path of the value, such as `services.0.kind`; empty for the whole text. */
  path: string;
  message: string;
}

/** Adds the level and the position to a warning. */
export function locateWarning(
  warning: UnlocatedWarning,
  locate: (path: ValuePath) => TextPosition,
): CheckFinding {
  return {
    level: 'warning',
    ...warning,
    path: warning.path.join('.'),
    ...locate(warning.path),
  };
}

/** Formats a finding as `file:line:column: level: path: message`. */
export function formatCheckFinding(
  {line, column, level, path, message}: CheckFinding,
  fileName: string,
): string {
  const location = path ? ` ${path}:` : '';
  return `${fileName}:${line}:${column}: ${level}:${location} ${message}`;
}
