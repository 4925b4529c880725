#!/usr/bin/env node
import {isDaemonCommand} from './commands/daemon_commands.js';
import {runCommand} from './run_command.js';

const args = process.argv.slice(2);
const exitCode = await runCommand(args);
// Whatever a daemon has left open after its end must not keep it.
if (isDaemonCommand(args)) process.exit(exitCode);
process.exitCode = exitCode;
