import {readFileSync} from 'node:fs';
import type {GatewayProcess} from './gateway_process.js';

/** Lines that a sound process never writes. */
const FAULT_LINE =
  /event=(input_failed|uncaught_error)|cause=(uncaught|unhandled)/;

/** Errors that `throw_on_signal.mjs` throws, as a fault of the soak. */
const INJECTED_ERROR = /thrown in a timer|rejected by nobody/;

/**
 * Checks that processes ended only as they were asked to, and that nothing failed
 * while they handled what was sent to them. Returns one text for each violation.
 */
export function checkProcesses(
  gateways: readonly Pick<
    GatewayProcess,
    'name' | 'logPath' | 'unexpectedExits'
  >[],
): string[] {
  return gateways.flatMap(({name, logPath, unexpectedExits}) => [
    ...unexpectedExits,
    ...readFileSync(logPath, 'utf8')
      .split('\n')
      .filter(line => FAULT_LINE.test(line) && !INJECTED_ERROR.test(line))
      .map(line => `${name}: ${line}`),
  ]);
}
