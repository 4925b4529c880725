import {describe, it} from 'node:test';
import type {Logger} from '@sardinestile/logger';
import {expect} from 'earl';
import type {ProcessMemory} from '../src/process_end.js';
import {watchProcessMemory} from '../src/process_memory.js';

describe('the watch of the memory of a process', () => {
  const createWatch = () => {
    const events: string[] = [];
    const memory: ProcessMemory = {
      residentMb: 80,
      residentPeakMb: 90,
      bufferMb: 5,
      heapUsedMb: 30,
      heapLimitMb: 100,
    };
    const record = (event: string) => events.push(event);
    const logger = {info: record, warn: record} as unknown as Logger;
    const watch = watchProcessMemory({logger, read: () => memory});
    watch.stop();
    return {events, memory, watch};
  };

  it('logs when the resident memory passes 80 % of its limit, and once it is below 70 %', () => {
    const {events, memory, watch} = createWatch();
    watch.setLimitMb(200);
    for (const residentMb of [159, 161, 150, 139, 141]) {
      memory.residentMb = residentMb;
      watch.check();
    }
    expect(events).toEqual(['process_memory_high', 'process_memory_usual']);
  });

  it('logs nothing about the resident memory without a limit', () => {
    const {events, memory, watch} = createWatch();
    memory.residentMb = 10_000;
    watch.check();
    expect(events).toEqual([]);
  });

  it('logs the heap apart', () => {
    const {events, memory, watch} = createWatch();
    memory.heapUsedMb = 81;
    watch.check();
    expect(events).toEqual(['process_heap_high']);
  });
});
