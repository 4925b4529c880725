import {readFile} from 'node:fs/promises';
import {
  formatCheckFinding,
  formatDifference,
  type GrantedKey,
} from '@sardinestile/checks';
import {SardinestileError} from '@sardinestile/errors';
import {command, flag, option, optional, positional, string} from 'cmd-ts';
import {callAdmin} from '../admin_client.js';
import {
  checkTableFile,
  checkTextFile,
  type ConfigurationReport,
  type OtherVersion,
} from '../check_configuration.js';
import {optionalAdminClientSettings} from '../settings.js';

/** Files with this suffix are route tables, others service texts. */
const ROUTE_TABLE_SUFFIX = '.json';

interface ComparisonArguments {
  against: string | undefined;
  isAgainstCurrent: boolean;
  adminUrl: string | undefined;
  adminKey: string | undefined;
}

/** The command `sardinestile config check`. */
export const checkCommand = command({
  name: 'check',
  description:
    'Check a service text or route table; print errors and warnings with positions.',
  args: {
    ...optionalAdminClientSettings,
    file: positional({
      type: string,
      displayName: 'file',
      description: 'file with a service text (YAML) or a route table (.json)',
    }),
    against: option({
      type: optional(string),
      long: 'against',
      description: 'file to compare with, as the version in force',
    }),
    isAgainstCurrent: flag({
      long: 'against-current',
      description:
        'compare with the version in force; needs the administration API',
    }),
    isJson: flag({long: 'json', description: 'print JSON, for programs'}),
  },
  handler: async ({file, isJson, ...comparison}) => {
    const source = await readFile(file, 'utf8');
    const isTable = file.endsWith(ROUTE_TABLE_SUFFIX);
    if (isTable && comparison.isAgainstCurrent) {
      throw createUsageError('the administration API has no route table');
    }
    const checkFile = isTable ? checkTableFile : checkTextFile;
    const report = checkFile(source, await readOtherVersion(comparison));
    const format = isJson ? formatAsJson : formatAsText;
    process.stdout.write(format(file, report));
    if (report.findings.length === 0) return;
    throw new SardinestileError({
      code: 'TEXT_REFUSED',
      message: `${file} has ${report.findings.length} findings`,
    });
  },
});

async function readOtherVersion({
  against,
  isAgainstCurrent,
  adminUrl,
  adminKey,
}: ComparisonArguments): Promise<OtherVersion | undefined> {
  if (against !== undefined) {
    if (isAgainstCurrent) {
      throw createUsageError(
        '--against and --against-current exclude each other',
      );
    }
    return {name: against, source: await readFile(against, 'utf8')};
  }
  if (!isAgainstCurrent) return undefined;
  if (adminUrl === undefined || adminKey === undefined) {
    throw createUsageError(
      '--against-current needs --admin-url and --admin-key',
    );
  }
  const client = {adminUrl, adminKey};
  const [text, keys] = await Promise.all([
    callAdmin(client, {path: '/admin/v1/text'}),
    callAdmin(client, {path: '/admin/v1/keys'}),
  ]);
  return {
    name: adminUrl,
    source: text.text,
    keys: JSON.parse(keys.text) as GrantedKey[],
  };
}

function createUsageError(message: string): SardinestileError {
  return new SardinestileError({code: 'SETTINGS_INVALID', message});
}

function formatAsJson(file: string, report: ConfigurationReport): string {
  return `${JSON.stringify({file, ...report}, undefined, 2)}\n`;
}

function formatAsText(
  file: string,
  {findings, differences}: ConfigurationReport,
): string {
  const lines =
    findings.length === 0
      ? [`${file}: no findings`]
      : findings.map(finding => formatCheckFinding(finding, file));
  if (differences) {
    lines.push(
      ...(differences.length === 0
        ? ['no differences']
        : differences.map(formatDifference)),
    );
  }
  return `${lines.join('\n')}\n`;
}
