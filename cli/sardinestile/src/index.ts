export * from './run_command.js';
export * from './start_daemon.js';
