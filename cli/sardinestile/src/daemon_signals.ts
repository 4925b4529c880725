import {createProcessSignals, type ProcessSignals} from './process_signals.js';

/** Subcommands that run until a signal stops them. */
const DAEMON_COMMANDS: ReadonlySet<string | undefined> = new Set([
  'entry',
  'agent',
  'dev',
]);

let signals: ProcessSignals | undefined;

/** Returns whether the arguments run a daemon rather than a command that ends by itself. */
export function isDaemonCommand([subcommand]: readonly string[]): boolean {
  return DAEMON_COMMANDS.has(subcommand);
}

/** Handles the signals of this process from the first call on; each returns the same. */
export function handleDaemonSignals(): ProcessSignals {
  return (signals ??= createProcessSignals({hangUp: 'stop'}));
}
