// Preloaded into a process whose memory is measured: collects its garbage regularly.
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const INTERVAL_MS = 500;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc');
setInterval(collectGarbage, INTERVAL_MS).unref();
