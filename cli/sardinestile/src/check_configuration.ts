import {
  checkGrantedKeys,
  checkServiceText,
  compareVersions,
  locateWarning,
  TEXT_SECTIONS,
  type CheckFinding,
  type GrantedKey,
  type VersionDifference,
} from '@sardinestile/checks';
import {SardinestileError} from '@sardinestile/errors';
import {parseLocatedDocument} from '@sardinestile/service_text';

/** A configuration to compare with. */
export interface OtherVersion {
  /** File name or address, for messages. */
  name: string;
  source: string;
  /** The granted keys, if they are known. */
  keys?: GrantedKey[];
}

/** Findings of a configuration and its differences from another version. */
export interface ConfigurationReport {
  findings: CheckFinding[];
  /** Undefined if nothing was compared, or if the configuration has errors. */
  differences?: VersionDifference[];
}

/** Checks a configuration and compares it with another version, if there is one. */
export type ConfigurationChecker = (
  source: string,
  other?: OtherVersion,
) => ConfigurationReport;

/** Checks a service text. */
export const checkTextFile: ConfigurationChecker = (source, other) => {
  const {serviceText, findings} = checkServiceText(source);
  if (!serviceText || !other) return {findings};
  const textInForce = checkServiceText(other.source).serviceText;
  if (!textInForce) throw createComparisonError(other);
  const {locate} = parseLocatedDocument(source);
  const keyWarnings = other.keys
    ? checkGrantedKeys(serviceText, textInForce, other.keys)
    : [];
  return {
    findings: [
      ...findings,
      ...keyWarnings.map(warning => locateWarning(warning, locate)),
    ],
    differences: compareVersions(TEXT_SECTIONS, textInForce, serviceText),
  };
};

/** Returns the error for a version that cannot be compared with. */
export function createComparisonError({name}: OtherVersion): SardinestileError {
  return new SardinestileError({
    code: 'TEXT_REFUSED',
    message: `${name} has errors and cannot be compared with`,
    hint: `Run "sardinestile config check" on ${name}.`,
  });
}
