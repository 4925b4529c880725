import {readFileSync} from 'node:fs';
import type {GatewayProcess} from './gateway_process.js';

/** Line of a failure while something was handled that was sent to the process. */
const FAULT_LINE = 'event=input_failed';

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
      .filter(line => line.includes(FAULT_LINE))
      .map(line => `${name}: ${line}`),
  ]);
}
