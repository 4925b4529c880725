import {readFile} from 'node:fs/promises';
import {
  checkServiceText,
  formatCheckFinding,
  type CheckFinding,
} from '@sardinestile/checks';
import {SardinestileError} from '@sardinestile/errors';
import {command, flag, positional, string} from 'cmd-ts';

/** The command `sardinestile config check`. */
export const checkCommand = command({
  name: 'check',
  description:
    'Check a service text and print every error and warning with its position.',
  args: {
    file: positional({
      type: string,
      displayName: 'file',
      description: 'file with the service text (YAML)',
    }),
    isJson: flag({long: 'json', description: 'print JSON, for programs'}),
  },
  handler: async ({file, isJson}) => {
    const {findings} = checkServiceText(await readFile(file, 'utf8'));
    const format = isJson ? formatAsJson : formatAsText;
    process.stdout.write(format(file, findings));
    if (findings.length === 0) return;
    throw new SardinestileError({
      code: 'TEXT_REFUSED',
      message: `${file} has ${findings.length} findings`,
    });
  },
});

function formatAsJson(file: string, findings: CheckFinding[]): string {
  return `${JSON.stringify({file, findings}, undefined, 2)}\n`;
}

function formatAsText(file: string, findings: CheckFinding[]): string {
  if (findings.length === 0) return `${file}: no findings\n`;
  return findings
    .map(finding => `${formatCheckFinding(finding, file)}\n`)
    .join('');
}
