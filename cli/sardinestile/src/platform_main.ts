// Imported first, as a signal must not end the process while the other modules load.
import {gatewaySignals} from './gateway_signals.js';
import {runGatewayMain} from './gateway_main.js';

// Entry point of the bundle that runs a gateway on the hosting platform.
process.exit(await runGatewayMain(gatewaySignals));
