import {readFileSync} from 'node:fs';
import type {GatewayProcess} from './gateway_process.js';

/** Lines that a sound process never writes. */
const FAULT_LINE = /event=input_failed|cause=(uncaught|unhandled)/;

/**
 * Checks that processes ended only by signals that they were sent, and that nothing failed
 * while they handled what was sent to them. Returns one text for each violation.
 */
export function checkProcesses(
  gateways: readonly Pick<
    GatewayProcess,
    'name' | 'logPath' | 'unexpectedExits'
  >[],
): string[] {
  return gateways.flatMap(({name, logPath, unexpectedExits}) => [
    ...unexpectedExits.map(
      ({code, signal}) => `${name} ended by itself: ${signal ?? code}`,
    ),
    ...readFileSync(logPath, 'utf8')
      .split('\n')
      .filter(line => FAULT_LINE.test(line))
      .map(line => `${name}: ${line}`),
  ]);
}
