import {createProcessSignals} from './process_signals.js';

/** Signals of a gateway process, handled as soon as this module is loaded. */
export const gatewaySignals = createProcessSignals({hangUp: 'reload'});
