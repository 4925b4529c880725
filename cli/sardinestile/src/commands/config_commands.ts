import {readFile} from 'node:fs/promises';
import {checkServiceText, formatCheckFinding} from '@sardinestile/checks';
import {SardinestileError} from '@sardinestile/errors';
import {diffText, type TextEdit} from '@sardinestile/replica';
import {command, number, option, positional, string, subcommands} from 'cmd-ts';
import {callAdmin} from '../admin_client.js';
import {adminClientSettings} from '../settings.js';
import {checkCommand} from './config_check_command.js';

const TEXT_PATH = '/admin/v1/text';

const fileArgument = positional({
  type: string,
  displayName: 'file',
  description: 'file with the service text (YAML)',
});

const applyCommand = command({
  name: 'apply',
  description:
    'Replace the service text; fails if it changed since the edited version.',
  args: {
    ...adminClientSettings,
    file: fileArgument,
    ifVersion: option({
      type: number,
      long: 'if-version',
      description: 'version that was edited; the current version by default',
      defaultValue: () => -1,
    }),
  },
  handler: async ({file, ifVersion, ...client}) => {
    const body = await readValidText(file);
    const ifMatch =
      ifVersion >= 0
        ? `"${ifVersion}"`
        : (await callAdmin(client, {path: TEXT_PATH})).etag;
    const call = {method: 'PUT' as const, path: TEXT_PATH, body, ifMatch};
    const answer = await callAdmin(client, call);
    process.stdout.write(`${answer.text}\n`);
  },
});

const showCommand = command({
  name: 'show',
  description: 'Print the current service text.',
  args: adminClientSettings,
  handler: async client => {
    const {text} = await callAdmin(client, {path: TEXT_PATH});
    process.stdout.write(text);
  },
});

const historyCommand = command({
  name: 'history',
  description: 'Print the stored configuration changes, oldest first.',
  args: {
    ...adminClientSettings,
    since: option({
      type: number,
      long: 'since',
      description: 'print only changes after this version',
      defaultValue: () => 0,
      defaultValueIsSerializable: true,
    }),
  },
  handler: async ({since, ...client}) => {
    const path = `/admin/v1/history?since=${since}`;
    const {text} = await callAdmin(client, {path});
    const changes = JSON.parse(text) as object[];
    changes.forEach(change =>
      process.stdout.write(`${JSON.stringify(change)}\n`),
    );
  },
});

const diffCommand = command({
  name: 'diff',
  description: 'Show the lines that applying a file would change.',
  args: {...adminClientSettings, file: fileArgument},
  handler: async ({file, ...client}) => {
    const {text} = await callAdmin(client, {path: TEXT_PATH});
    const edit = diffText(text, await readFile(file, 'utf8'));
    process.stdout.write(formatEdit(text, edit));
  },
});

/** The command `sardinestile config`. */
export const configCommand = subcommands({
  name: 'config',
  description: 'Validate, apply and print the service text.',
  cmds: {
    check: checkCommand,
    apply: applyCommand,
    show: showCommand,
    history: historyCommand,
    diff: diffCommand,
  },
});

/** Reads a text and prints its findings; throws if one is an error. */
async function readValidText(file: string): Promise<string> {
  const text = await readFile(file, 'utf8');
  const {serviceText, findings} = checkServiceText(text);
  // The output of a command that continues is the response of the API.
  const output = serviceText ? process.stderr : process.stdout;
  for (const finding of findings) {
    output.write(`${formatCheckFinding(finding, file)}\n`);
  }
  if (serviceText) return text;
  throw new SardinestileError({
    code: 'TEXT_REFUSED',
    message: `${file} has ${findings.length} findings`,
  });
}

function formatEdit(text: string, edit: TextEdit): string {
  const {startLine, deleteCount, lines} = edit;
  if (deleteCount === 0 && lines.length === 0) return 'no change\n';
  const removed = text.split('\n').slice(startLine, startLine + deleteCount);
  return [
    `@@ line ${startLine + 1} @@`,
    ...removed.map(line => `-${line}`),
    ...lines.map(line => `+${line}`),
    '',
  ].join('\n');
}
