import {decodeRouteTable, toWirePath} from '@sardinestile/adapter_platform';
import {
  checkGrantedKeys,
  checkRouteTable,
  checkServiceText,
  compareVersions,
  locateWarning,
  TABLE_SECTIONS,
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

/** Checks a route table in the format of the platform's operators (JSON). */
export const checkTableFile: ConfigurationChecker = (source, other) => {
  const {document, locate, positionAt} = parseLocatedDocument(source);
  const createError = (message: string, path: Array<string | number>) => ({
    level: 'error' as const,
    rule: 'invalid-table',
    path: path.join('.'),
    message,
    ...locate(path),
  });
  let value: unknown;
  try {
    value = JSON.parse(source);
  } catch (error) {
    const {message} = error as Error;
    const offset = /at position (\d+)/.exec(message)?.[1];
    const position = positionAt(
      Number(offset ?? document.errors[0]?.pos[0] ?? 0),
    );
    return {findings: [{...createError(message, []), ...position}]};
  }
  const decoded = decodeRouteTable(value);
  if (!decoded.isValid) {
    const findings = decoded.issues.map(({path, message}) =>
      createError(message, path),
    );
    return {findings};
  }
  const {table, skippedRoutes} = decoded;
  const warnings = [
    ...skippedRoutes.map(index => ({
      rule: 'route-never-matches',
      path: ['routes', index],
      message: 'the route leads to no service and is left out',
    })),
    ...checkRouteTable(table).map(warning => ({
      ...warning,
      path: toWirePath(warning.path, skippedRoutes),
    })),
  ];
  const findings = warnings.map(warning => locateWarning(warning, locate));
  if (!other) return {findings};
  const tableInForce = parseTable(other);
  return {
    findings,
    differences: compareVersions(TABLE_SECTIONS, tableInForce, table),
  };
};

function parseTable(other: OtherVersion) {
  try {
    const decoded = decodeRouteTable(JSON.parse(other.source));
    if (decoded.isValid) return decoded.table;
  } catch {
    // A text that is not JSON is reported like an invalid table.
  }
  throw createComparisonError(other);
}
