import {Err, Ok, type Result} from 'ts-results-es';
import type {Finding} from './finding.js';
import {parseLocatedDocument} from './locate_path.js';
import {REFERENCE_CHECKS, type UnlocatedFinding} from './reference_checks.js';
import {serviceTextSchema, type ServiceText} from './service_text_schema.js';

/** Longer texts are rejected without parsing. */
export const MAX_TEXT_CHARS = 2_000_000;

/**
 * Parses and validates the operators' service text (YAML). On failure,
 * returns all findings of the first stage that fails: YAML syntax, the schema,
 * then the reference checks.
 */
export function parseServiceText(
  source: string,
): Result<ServiceText, Finding[]> {
  if (source.length > MAX_TEXT_CHARS) {
    const message = `the text is over ${MAX_TEXT_CHARS} characters`;
    return Err([{line: 1, column: 1, path: '', message}]);
  }
  const {document, positionAt, locate} = parseLocatedDocument(source);
  if (document.errors.length > 0) {
    return Err(
      document.errors.map(error => ({
        ...positionAt(error.pos[0]),
        path: '',
        message: error.message.split('\n')[0].replace(/ at line.*$/, ''),
      })),
    );
  }
  const parsed = serviceTextSchema.safeParse(document.toJS());
  const unlocatedFindings: UnlocatedFinding[] = parsed.success
    ? Object.values(REFERENCE_CHECKS).flatMap(check => check(parsed.data))
    : parsed.error.issues.map(issue => ({
        path: issue.path as Array<string | number>,
        message: issue.message,
      }));
  if (parsed.success && unlocatedFindings.length === 0) return Ok(parsed.data);
  return Err(
    unlocatedFindings.map(finding => ({
      ...locate(finding.path),
      path: finding.path.join('.'),
      message: finding.message,
    })),
  );
}
