import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createKeyedHeaders,
  numbersBelow,
  openKeptConnection,
  ROUTE_PATHS,
  startLoopPolls,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {
  createSingleGateway,
  type SingleGateway,
} from '../src/single_gateway.js';

const BUSY_LOOP_URL = new URL('../src/busy_loop.mjs', import.meta.url).href;

/** Callers that connect again as soon as they were answered. */
const CALLERS = 150;

/** Pause of a caller after a refusal, in milliseconds. */
const PAUSE_MS = 20;

/** Time for which callers send before the stop, in milliseconds. */
const LEAD_MS = 1_000;

/** Time after its last byte for which a request may be cut off if it was not run, in milliseconds. */
const LOSS_SLACK_MS = 200;

describe('a gateway process that stops while more callers connect than it can accept at once', () => {
  let single: SingleGateway;
  const loopPolls = startLoopPolls();
  before(async () => {
    single = await createSingleGateway();
    for (const upstream of single.cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'answer'});
    }
  });
  after(async () => {
    loopPolls.stop();
    await single.process.stop();
    await single.close();
  });

  it('resets no connection whose request waited for longer than 200 ms', async () => {
    single.start({NODE_OPTIONS: `--import=${BUSY_LOOP_URL}`});
    await single.waitUntilReady();
    const lost: string[] = [];
    let calls = 0;
    let hasExited = false;
    const runCaller = async () => {
      while (!hasExited) {
        const id = `saturated-${calls++}`;
        const connection = openKeptConnection(single.process.address, {
          loopPolls,
        });
        const {isComplete} = await connection.send({
          path: ROUTE_PATHS.idempotent,
          headers: createKeyedHeaders(id),
        });
        const {sentWholeAtMs = Infinity, openUntilMs = -Infinity} = connection;
        const waitedMs = openUntilMs - sentWholeAtMs;
        if (!isComplete && waitedMs > LOSS_SLACK_MS) {
          lost.push(`${id} after ${Math.round(waitedMs)} ms`);
        }
        connection.close();
        await sleep(PAUSE_MS);
      }
    };
    const callers = numbersBelow(CALLERS).map(runCaller);
    await sleep(LEAD_MS);
    single.process.signal('SIGTERM');
    await single.waitForExit();
    hasExited = true;
    await Promise.all(callers);
    expect(calls > 10 * CALLERS).toEqual(true);
    expect(lost).toEqual([]);
  });
});
