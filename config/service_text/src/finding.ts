/** An error in the service text and its position. */
export interface Finding {
  /** Starts at 1. */
  line: number;
  /** Starts at 1. */
  column: number;
  /**
   * Path of the invalid value, such as `services.0.kind`; empty if the error
   * concerns no single value.
   */
  path: string;
  message: string;
}

/** Formats a finding as `file:line:column: path: message`. */
export function formatFinding(finding: Finding, fileName: string): string {
  const position = `${fileName}:${finding.line}:${finding.column}`;
  const path = finding.path ? ` ${finding.path}:` : '';
  return `${position}:${path} ${finding.message}`;
}
