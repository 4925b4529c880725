// Entry point of the bundle that runs a gateway on the hosting platform. Only what
// handles signals is loaded before the rest of the gateway.
import {describeError} from './describe_error.js';
import {gatewaySignals} from './gateway_signals.js';
import {writeLastLine} from './write_last_line.js';

async function main(): Promise<void> {
  const {runGatewayMain} = await import('./gateway_main.js');
  process.exit(await runGatewayMain(gatewaySignals));
}

main().catch((error: unknown) => {
  writeLastLine(`the gateway cannot be loaded: ${describeError(error)}\n`);
  process.exit(1);
});
