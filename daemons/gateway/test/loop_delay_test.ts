import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createLoopDelay} from '../src/loop_delay.js';

describe('createLoopDelay', () => {
  const INTERVAL_MS = 100;
  const start = () => {
    let nowMs = 0;
    const delay = createLoopDelay(INTERVAL_MS, () => nowMs);
    return {
      delay,
      wait: (ms: number) => void (nowMs += ms),
    };
  };

  it('is 0 while the checks come in time', () => {
    const {delay, wait} = start();
    wait(100);
    delay.check();
    wait(60);
    expect(delay.delayMs()).toEqual(0);
  });

  it('covers a delay that has not let the next check run', () => {
    const {delay, wait} = start();
    wait(450);
    expect(delay.delayMs()).toEqual(350);
  });

  it('covers a delay that ended with the last check', () => {
    const {delay, wait} = start();
    wait(450);
    delay.check();
    wait(5);
    expect(delay.delayMs()).toEqual(350);
    wait(95);
    delay.check();
    expect(delay.delayMs()).toEqual(0);
  });
});
