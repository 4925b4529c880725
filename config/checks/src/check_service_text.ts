import {
  parseLocatedDocument,
  parseServiceText,
  type ServiceText,
} from '@sardinestile/service_text';
import {locateWarning, type CheckFinding} from './check_finding.js';
import {TEXT_LIMIT_CHECKS} from './text_limit_checks.js';
import {TEXT_MATCH_CHECKS} from './text_match_checks.js';

/** Result of the checks of a service text. */
export interface CheckedServiceText {
  /** Undefined if there are errors; such a text must not be accepted. */
  serviceText: ServiceText | undefined;
  findings: CheckFinding[];
}

/**
 * Checks a service text (YAML). Warnings are determined only for a text without
 * errors.
 */
export function checkServiceText(source: string): CheckedServiceText {
  const parsed = parseServiceText(source);
  if (parsed.isErr()) {
    const findings = parsed.error.map((finding): CheckFinding => ({
      level: 'error',
      rule: 'invalid-text',
      ...finding,
    }));
    return {serviceText: undefined, findings};
  }
  const serviceText = parsed.value;
  const {locate} = parseLocatedDocument(source);
  const findings = [TEXT_MATCH_CHECKS, TEXT_LIMIT_CHECKS]
    .flatMap(checks => Object.values(checks))
    .flatMap(check => check(serviceText))
    .map(warning => locateWarning(warning, locate));
  return {serviceText, findings};
}
