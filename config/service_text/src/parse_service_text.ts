import {Err, Ok, type Result} from 'ts-results-es';
import {isNode, LineCounter, parseDocument, type Document} from 'yaml';
import type {Finding} from './finding.js';
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
  const lineCounter = new LineCounter();
  const document = parseDocument(source, {lineCounter});
  if (document.errors.length > 0) {
    return Err(
      document.errors.map(error => ({
        ...positionAt(lineCounter, error.pos[0]),
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
      ...positionAt(lineCounter, findOffset(document, finding.path)),
      path: finding.path.join('.'),
      message: finding.message,
    })),
  );
}

function positionAt(lineCounter: LineCounter, offset: number) {
  const {line, col} = lineCounter.linePos(offset);
  return {line: Math.max(1, line), column: Math.max(1, col)};
}

/** Returns the offset of the value at a path, or of its nearest existing parent. */
function findOffset(
  document: Document,
  path: ReadonlyArray<string | number>,
): number {
  for (let length = path.length; length >= 0; length--) {
    const node =
      length === 0
        ? document.contents
        : document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return node.range[0];
  }
  return 0;
}
