import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {startLoopDelay, type LoopDelay} from '../src/loop_delay.js';

/** Time after which the loop has been checked and polled, in milliseconds. */
const SETTLE_MS = 250;

/** Longest time from a signal to its handler in a calm process, in milliseconds. */
const CALM_MS = 200;

function blockLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

/** Sends this process a signal; resolves to the earliest time at which it may have been sent. */
async function signalSelf(delay: LoopDelay): Promise<number> {
  // A handler of a signal does not keep the process running.
  const timer = setTimeout(() => undefined, 10_000);
  const handled = new Promise<number>(resolve =>
    process.once('SIGUSR2', () => resolve(delay.earliestSignalAtMs())),
  );
  process.kill(process.pid, 'SIGUSR2');
  const earliestMs = await handled;
  clearTimeout(timer);
  return earliestMs;
}

describe('startLoopDelay', () => {
  let delay: LoopDelay;
  beforeEach(async () => {
    delay = startLoopDelay();
    await sleep(SETTLE_MS);
  });
  afterEach(() => delay.stop());

  it('is close in a calm process', async () => {
    const sentAtMs = performance.now();
    const earliestMs = await signalSelf(delay);
    expect(earliestMs <= sentAtMs).toEqual(true);
    expect(sentAtMs - earliestMs <= CALM_MS).toEqual(true);
  });

  it('covers a turn that holds the loop after the signal was sent', async () => {
    const sentAtMs = performance.now();
    const handled = signalSelf(delay);
    blockLoop(400);
    expect((await handled) <= sentAtMs).toEqual(true);
  });

  it('covers other events that are handled before the signal', async () => {
    const server = createServer(socket =>
      socket.on('data', () => blockLoop(60)),
    ).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const sockets: Socket[] = [];
    for (let i = 0; i < 10; i++) {
      const socket = connect(port, '127.0.0.1');
      await once(socket, 'connect');
      sockets.push(socket);
    }
    await sleep(SETTLE_MS);
    sockets.forEach(socket => socket.write('x'));
    const sentAtMs = performance.now();
    const handled = signalSelf(delay);
    sockets.forEach(socket => socket.write('x'));
    expect((await handled) <= sentAtMs).toEqual(true);
    sockets.forEach(socket => socket.destroy());
    server.close();
  });

  it('does not date a signal before a delay that ended before it was sent', async () => {
    blockLoop(1_000);
    await sleep(20);
    const sentAtMs = performance.now();
    const earliestMs = await signalSelf(delay);
    expect(earliestMs <= sentAtMs).toEqual(true);
    expect(sentAtMs - earliestMs <= CALM_MS).toEqual(true);
  });
});
