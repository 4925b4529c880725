import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createKeyedHeaders,
  HOST,
  ROUTE_PATHS,
  sendRawRequest,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {
  createSingleGateway,
  type SingleGateway,
} from '../src/single_gateway.js';

/** A response at which the HTTP client fails an assertion. */
const IMPOSSIBLE_RESPONSE = Buffer.from(
  'HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n',
);

/** Pause after which a gateway itself says that it stood still, in milliseconds. */
const MAX_PAUSE_MS = 1_000;

/** Time in which a failed assertion would have held up the process, in milliseconds. */
const WATCH_MS = 3_000;

describe('a gateway process in which an assertion of a package fails', () => {
  let single: SingleGateway;
  before(async () => {
    single = await createSingleGateway();
    for (const upstream of single.cluster.upstreams) {
      upstream.chooseBehaviour = () => ({
        kind: 'raw',
        bytes: IMPOSSIBLE_RESPONSE,
      });
    }
    single.start();
    await single.waitUntilReady();
  });
  after(async () => {
    await single.process.stop();
    await single.close();
  });

  it('goes on at once', async () => {
    const {status} = await sendRawRequest({
      address: single.process.address,
      host: HOST,
      path: ROUTE_PATHS.once,
      headers: createKeyedHeaders('impossible'),
    });
    expect(status).toEqual(502);
    const endMs = performance.now() + WATCH_MS;
    while (performance.now() < endMs) {
      const askedAtMs = performance.now();
      expect(await single.isReady()).toEqual(true);
      expect(performance.now() - askedAtMs < MAX_PAUSE_MS).toEqual(true);
      await sleep(50);
    }
    expect(single.readLog().includes('event=process_stood_still')).toEqual(
      false,
    );
  });
});
