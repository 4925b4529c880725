// Preloaded into a process. Sends it the signal SIGNAL_WHILE_LOADING when the first module
// over MIN_MODULE_BYTES is about to be read.
import {register} from 'node:module';

register('./signal_while_loading_hooks.mjs', import.meta.url);
