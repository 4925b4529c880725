// Loader hooks; they run in a thread of their own while the process waits for the module.
import {statSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const MIN_MODULE_BYTES = Number(process.env.MIN_MODULE_BYTES);
const LOADING_MS = 100;

let isSent = false;

export async function load(url, context, nextLoad) {
  if (!isSent && url.startsWith('file:') && isLarge(fileURLToPath(url))) {
    isSent = true;
    process.kill(process.pid, process.env.SIGNAL_WHILE_LOADING);
    await sleep(LOADING_MS);
  }
  return nextLoad(url, context);
}

function isLarge(path) {
  return statSync(path).size > MIN_MODULE_BYTES;
}
