import {readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {createLogger} from '@sardinestile/logger';
import {command, number, option, string} from 'cmd-ts';
import {runUntilSignal} from '../run_until_signal.js';
import {agentSettings, entrySettings, logLevelSetting} from '../settings.js';
import {startAgentDaemon, startEntryDaemon} from '../start_daemon.js';

/** Service text that `sardinestile dev` uses by default. */
const DEFAULT_TEXT_PATH = fileURLToPath(
  new URL('../../../../examples/paletta_viva.yaml', import.meta.url),
);

/** The command `sardinestile entry`. */
export const entryCommand = command({
  name: 'entry',
  description:
    'Run an entry: authenticate callers, place requests and stream answers.',
  args: entrySettings,
  handler: async settings => runUntilSignal(await startEntryDaemon(settings)),
});

/** The command `sardinestile agent`. */
export const agentCommand = command({
  name: 'agent',
  description:
    'Run the agent of one upstream: admit, schedule and run requests.',
  args: agentSettings,
  handler: async settings => runUntilSignal(await startAgentDaemon(settings)),
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
  handler: async ({text, port, opsPort, logLevel}) => {
    const {startDevSystem} = await import('@sardinestile/dev');
    const secret = 'sk-dev';
    const system = await startDevSystem({
      text: await readFile(text, 'utf8'),
      port,
      opsPort,
      adminKey: 'dev-admin',
      secret,
      logger: createLogger({level: logLevel}),
    });
    const [model] = system.models;
    process.stdout.write(formatExampleRequest(system.port, secret, model));
    await runUntilSignal(system);
  },
});

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
