import {readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {
  createRateLimitedLogger,
  type Logger,
  type LogLevel,
} from '@sardinestile/logger';
import {command, number, option, string} from 'cmd-ts';
import {handleDaemonSignals} from '../daemon_signals.js';
import {describeError} from '../describe_error.js';
import {logOutputErrors} from '../log_output_errors.js';
import {logProcessEnd, logProcessStart} from '../process_end.js';
import {watchProcessMemory} from '../process_memory.js';
import type {StoppableProcess} from '../process_signals.js';
import {agentSettings, entrySettings, logLevelSetting} from '../settings.js';
import {startAgentDaemon, startEntryDaemon} from '../start_daemon.js';

/** Service text that `sardinestile dev` uses by default. */
const DEFAULT_TEXT_PATH = fileURLToPath(
  new URL('../../../../examples/paletta_viva.yaml', import.meta.url),
);

/** Time for which `sardinestile dev` waits for its ports, in milliseconds; its user waits, too. */
const DEV_ADDRESS_WAIT_LIMIT_MS = 2_000;

/** Time limit for writing the last lines of the log, in milliseconds. */
const LAST_LINES_TIMEOUT_MS = 100;

/** The command `sardinestile entry`. */
export const entryCommand = command({
  name: 'entry',
  description:
    'Run an entry: authenticate callers, place requests and stream answers.',
  args: entrySettings,
  handler: ({logLevel, ...settings}) =>
    runDaemon(
      'entry',
      logLevel,
      (logger, stopSignal) => startEntryDaemon(settings, logger, stopSignal),
      settings.memoryMb,
    ),
});

/** The command `sardinestile agent`. */
export const agentCommand = command({
  name: 'agent',
  description:
    'Run the agent of one upstream: admit, schedule and run requests.',
  args: agentSettings,
  handler: ({logLevel, ...settings}) =>
    runDaemon('agent', logLevel, (logger, stopSignal) =>
      startAgentDaemon(settings, logger, stopSignal),
    ),
});

/** The command `sardinestile dev`. */
export const devCommand = command({
  name: 'dev',
  description:
    'Run the system in one process, with a simulated platform and upstreams.',
  args: {
    text: option({
      type: string,
      long: 'text',
      description: 'file with the service text (YAML)',
      defaultValue: () => DEFAULT_TEXT_PATH,
    }),
    port: option({
      type: number,
      long: 'port',
      description: 'port for callers',
      defaultValue: () => 8080,
      defaultValueIsSerializable: true,
    }),
    opsPort: option({
      type: number,
      long: 'ops-port',
      description:
        'port for health checks, metrics, state dumps and the administration API',
      defaultValue: () => 8081,
      defaultValueIsSerializable: true,
    }),
    logLevel: logLevelSetting,
  },
  handler: ({text, port, opsPort, logLevel}) =>
    runDaemon('dev', logLevel, async (logger, startSignal) => {
      const {startDevSystem} = await import('@sardinestile/dev');
      const secret = 'sk-dev';
      const system = await startDevSystem({
        text: await readFile(text, 'utf8'),
        port,
        opsPort,
        adminKey: 'dev-admin',
        secret,
        addressWaitLimitMs: DEV_ADDRESS_WAIT_LIMIT_MS,
        startSignal,
        logger,
      });
      const [model] = system.models;
      process.stdout.write(formatExampleRequest(system.port, secret, model));
      return system;
    }),
});

/** Runs a process without a settings file until a signal or an uncaught error stops it. */
async function runDaemon(
  role: string,
  level: LogLevel,
  start: (logger: Logger, stopSignal: AbortSignal) => Promise<StoppableProcess>,
  memoryLimitMb?: number,
): Promise<void> {
  const logger = createRateLimitedLogger({level});
  logOutputErrors(logger);
  const processEnd = logProcessEnd();
  logProcessStart(role, logger);
  const memoryWatch = watchProcessMemory({logger});
  if (memoryLimitMb) memoryWatch.setLimitMb(memoryLimitMb);
  try {
    const outcome = await handleDaemonSignals().run(logger, stopSignal =>
      start(logger, stopSignal),
    );
    processEnd.recordOutcome(outcome);
    if (outcome.cause !== 'stopped') {
      throw new Error(`${role} ended: ${outcome.cause}`, {
        cause: outcome.error,
      });
    }
  } catch (error) {
    processEnd.record('startFailed', describeError(error));
    throw error;
  } finally {
    memoryWatch.stop();
    await logger.flush(LAST_LINES_TIMEOUT_MS);
  }
}

function formatExampleRequest(
  port: number,
  secret: string,
  model: string,
): string {
  const body = {
    model,
    stream: true,
    messages: [{role: 'user', content: 'hello'}],
  };
  return [
    'Ready. Try:',
    `  curl -N http://127.0.0.1:${port}/v1/chat/completions \\`,
    `    -H 'authorization: Bearer ${secret}' \\`,
    `    -d '${JSON.stringify(body)}'`,
    '',
  ].join('\n');
}
