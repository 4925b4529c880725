import {SardinestileError} from '@sardinestile/errors';
import {createLogger} from '@sardinestile/logger';
import {runSafely, subcommands} from 'cmd-ts';
import {configCommand} from './commands/config_commands.js';
import {explainCommand} from './commands/explain_command.js';
import {settingsCommand} from './commands/settings_command.js';
import {
  agentCommand,
  devCommand,
  entryCommand,
} from './commands/daemon_commands.js';
import {
  drainCommand,
  keyCommand,
  stateCommand,
  usageCommand,
} from './commands/operator_commands.js';
import {EXIT_CODE_BY_ERROR, EXIT_CODES} from './exit_code.js';

const rootCommand = subcommands({
  name: 'sardinestile',
  description:
    'Router for language-model traffic with service levels and priorities.\n' +
    'Settings are flags or environment variables (SARDINESTILE_*).',
  cmds: {
    entry: entryCommand,
    agent: agentCommand,
    dev: devCommand,
    config: configCommand,
    key: keyCommand,
    drain: drainCommand,
    state: stateCommand,
    usage: usageCommand,
    explain: explainCommand,
    settings: settingsCommand,
  },
});

/** Runs the `sardinestile` command with its arguments and returns the exit code. */
export async function runCommand(args: string[]): Promise<number> {
  try {
    const result = await runSafely(rootCommand, args);
    if (result._tag === 'ok') return EXIT_CODES.ok;
    const {message, exitCode, into} = result.error.config;
    const stream = into === 'stdout' ? process.stdout : process.stderr;
    stream.write(`${message}\n`);
    return exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
  } catch (error) {
    return logError(error);
  }
}

function logError(error: unknown): number {
  const logger = createLogger({
    level: 'info',
    write: line => process.stderr.write(line),
  });
  if (!(error instanceof SardinestileError)) {
    const message = error instanceof Error ? error.message : String(error);
    logger.error('command_failed', {code: 'FAILED', message});
    return EXIT_CODES.failed;
  }
  const {code, message, hint} = error;
  logger.error('command_failed', {code, message, hint});
  return EXIT_CODE_BY_ERROR[code];
}
