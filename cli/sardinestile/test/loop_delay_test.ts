import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createLoopDelay} from '../src/loop_delay.js';

describe('createLoopDelay', () => {
  const start = () => {
    let nowMs = 0;
    const delay = createLoopDelay(() => nowMs);
    return {delay, wait: (ms: number) => void (nowMs += ms)};
  };

  it('covers the time since the check before the last one', () => {
    const {delay, wait} = start();
    wait(100);
    delay.check();
    wait(100);
    delay.check();
    wait(60);
    expect(delay.maxDelayMs()).toEqual(160);
  });

  it('covers two slow turns, of which the second handled the signal last', () => {
    const {delay, wait} = start();
    wait(100);
    delay.check();
    wait(300);
    delay.check();
    wait(250);
    expect(delay.maxDelayMs()).toEqual(550);
  });

  it('covers a turn that has not let any check run', () => {
    const {delay, wait} = start();
    wait(450);
    expect(delay.maxDelayMs()).toEqual(450);
  });
});
