import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createInputPacer, type InputPacer} from '../src/input_pacer.js';

describe('an input pacer', () => {
  let nowMs = 0;
  let runTurns: () => void;
  const create = (maxWaitingBytes = 1_000) => {
    nowMs = 0;
    return createInputPacer({
      maxWaitingBytes,
      nowMs: () => nowMs,
      schedule: callback => (runTurns = callback),
    });
  };
  /** Opens a connection whose parts take some time each; logs its turns. */
  const open = (
    pacer: InputPacer,
    turns: string[],
    {name, partMs, bytes}: {name: string; partMs: number; bytes: number},
  ) => {
    let waitingBytes = bytes;
    const place = pacer.open({
      get waitingBytes() {
        return waitingBytes;
      },
      parseNext() {
        turns.push(name);
        nowMs += partMs;
        waitingBytes -= 1;
        place.recordUse(partMs);
        if (waitingBytes === 0) place.leave();
      },
      shed() {
        turns.push(`${name} shed`);
        place.leave();
      },
    });
    return place;
  };

  it('lets the rest of a read wait that has taken a millisecond', () => {
    const place = open(create(), [], {name: 'a', partMs: 1, bytes: 1});
    expect(place.mustWait(1)).toEqual(false);
    expect(place.mustWait(1.1)).toEqual(true);
  });

  it('lets all wait of a connection that has used twenty milliseconds', () => {
    const place = open(create(), [], {name: 'a', partMs: 1, bytes: 1});
    place.recordUse(20);
    expect(place.mustWait(0)).toEqual(false);
    place.recordUse(1);
    expect(place.mustWait(0)).toEqual(true);
  });

  it('forgets what a connection has used at a tenth of a core', () => {
    const place = open(create(), [], {name: 'a', partMs: 1, bytes: 1});
    place.recordUse(30);
    nowMs = 99;
    expect(place.mustWait(0)).toEqual(true);
    nowMs = 101;
    expect(place.mustWait(0)).toEqual(false);
  });

  it('gives the next turn to the connection that has used least', () => {
    const pacer = create();
    const turns: string[] = [];
    const heavy = open(pacer, turns, {name: 'heavy', partMs: 2, bytes: 9});
    const light = open(pacer, turns, {name: 'light', partMs: 2, bytes: 2});
    heavy.recordUse(5);
    heavy.wait();
    light.wait();
    runTurns();
    expect(turns).toEqual(['light', 'light', 'heavy', 'heavy']);
  });

  it('goes on after the next poll when eight milliseconds have passed', () => {
    const pacer = create();
    const turns: string[] = [];
    open(pacer, turns, {name: 'a', partMs: 4, bytes: 3}).wait();
    runTurns();
    expect(turns.length).toEqual(2);
    runTurns();
    expect(turns.length).toEqual(3);
  });

  it('sheds the connections that hold most while too much waits', () => {
    const pacer = create(100);
    const turns: string[] = [];
    open(pacer, turns, {name: 'small', partMs: 1, bytes: 10}).wait();
    open(pacer, turns, {name: 'large', partMs: 1, bytes: 60}).wait();
    open(pacer, turns, {name: 'larger', partMs: 1, bytes: 70}).wait();
    expect(turns).toEqual(['larger shed']);
  });
});
