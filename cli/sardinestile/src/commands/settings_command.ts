import {readFile} from 'node:fs/promises';
import {checkOwnAddresses, parseSettings} from '@sardinestile/adapter_platform';
import {command, positional, string, subcommands} from 'cmd-ts';

const checkCommand = command({
  name: 'check',
  description: 'Validate the settings file of a gateway without starting it.',
  args: {file: positional({type: string, displayName: 'file'})},
  handler: async ({file}) => {
    checkOwnAddresses(parseSettings(await readFile(file, 'utf8'), file), file);
    process.stdout.write(`${file}: no findings\n`);
  },
});

/** The command `sardinestile settings`. */
export const settingsCommand = subcommands({
  name: 'settings',
  description: 'Settings of a gateway on the hosting platform.',
  cmds: {check: checkCommand},
});
