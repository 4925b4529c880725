import {
  command,
  optional,
  option,
  positional,
  string,
  subcommands,
} from 'cmd-ts';
import {callAdmin, type AdminCall} from '../admin_client.js';
import {adminClientSettings} from '../settings.js';

type Client = {adminUrl: string; adminKey: string};

async function printResponse(client: Client, call: AdminCall): Promise<void> {
  const {text} = await callAdmin(client, call);
  const value: unknown = JSON.parse(text);
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

const grantCommand = command({
  name: 'grant',
  description:
    'Grant an API key to an organisation; its secret is shown only once.',
  args: {
    ...adminClientSettings,
    organisation: positional({type: string, displayName: 'organisation'}),
  },
  handler: ({organisation, ...client}) => {
    const body = JSON.stringify({organisation});
    return printResponse(client, {
      method: 'POST',
      path: '/admin/v1/keys',
      body,
    });
  },
});

const withdrawCommand = command({
  name: 'withdraw',
  description: 'Withdraw an API key; its open requests are aborted.',
  args: {
    ...adminClientSettings,
    keyId: positional({type: string, displayName: 'key-id'}),
  },
  handler: ({keyId, ...client}) => {
    const path = `/admin/v1/keys/${encodeURIComponent(keyId)}`;
    return printResponse(client, {method: 'DELETE', path});
  },
});

const listCommand = command({
  name: 'list',
  description: 'List the API keys, without their secrets.',
  args: adminClientSettings,
  handler: client => printResponse(client, {path: '/admin/v1/keys'}),
});

/** The command `sardinestile key`. */
export const keyCommand = subcommands({
  name: 'key',
  description: 'Grant, withdraw and list API keys.',
  cmds: {grant: grantCommand, withdraw: withdrawCommand, list: listCommand},
});

function drainSubcommand(
  name: string,
  isDraining: boolean,
  description: string,
) {
  return command({
    name,
    description,
    args: {
      ...adminClientSettings,
      upstream: positional({type: string, displayName: 'upstream'}),
    },
    handler: ({upstream, ...client}) => {
      const path = `/admin/v1/drains/${encodeURIComponent(upstream)}`;
      const body = JSON.stringify({isDraining});
      return printResponse(client, {method: 'PUT', path, body});
    },
  });
}

/** The command `sardinestile drain`. */
export const drainCommand = subcommands({
  name: 'drain',
  description: 'Begin or end the draining of an upstream.',
  cmds: {
    begin: drainSubcommand(
      'begin',
      true,
      'Stop sending new requests to an upstream.',
    ),
    end: drainSubcommand(
      'end',
      false,
      'Resume sending requests to an upstream.',
    ),
  },
});

/** The command `sardinestile state`. */
export const stateCommand = command({
  name: 'state',
  description: 'Print the state of the process at --admin-url.',
  args: adminClientSettings,
  handler: client => printResponse(client, {path: '/state'}),
});

/** The command `sardinestile usage`. */
export const usageCommand = command({
  name: 'usage',
  description: 'Print the usage of each organisation in each time window.',
  args: {
    ...adminClientSettings,
    window: option({
      type: optional(string),
      long: 'window',
      description: 'id of the only window to print',
    }),
  },
  handler: ({window, ...client}) => {
    const query = window ? `?window=${encodeURIComponent(window)}` : '';
    return printResponse(client, {path: `/admin/v1/usage${query}`});
  },
});
