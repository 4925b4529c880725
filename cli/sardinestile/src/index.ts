export type {StoppableProcess} from './process_signals.js';
export * from './run_command.js';
export * from './start_daemon.js';
