#!/usr/bin/env node
import {handleDaemonSignals, isDaemonCommand} from './daemon_signals.js';

const args = process.argv.slice(2);
const isDaemon = isDaemonCommand(args);
// Before the other modules are loaded, as a signal must not end the process meanwhile.
if (isDaemon) handleDaemonSignals();
const {runCommand} = await import('./run_command.js');
const exitCode = await runCommand(args);
// Whatever a daemon has left open after its end must not keep it.
if (isDaemon) process.exit(exitCode);
process.exitCode = exitCode;
