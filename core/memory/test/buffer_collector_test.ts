import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {createBufferCollector} from '../src/index.js';

const MB = 1_048_576;
const CHUNK_BYTES = 65_536;

describe('the collector of buffers', () => {
  it('collects each time as many bytes were read as it lets wait', () => {
    let collections = 0;
    const collector = createBufferCollector({
      collectAfterBytes: 100,
      collect: () => collections++,
    });
    for (let i = 0; i < 10; i++) collector.recordRead(30);
    expect(collections).toEqual(2);
  });

  it('keeps buffers that are dropped from adding up', async () => {
    const collector = createBufferCollector({collectAfterBytes: 4 * MB});
    let mostBytes = 0;
    for (let i = 0; i < 2_000; i++) {
      Buffer.allocUnsafeSlow(CHUNK_BYTES).fill(1);
      collector.recordRead(CHUNK_BYTES);
      if (i % 50 === 0) await sleep(0);
      mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers);
    }
    expect(mostBytes).toBeLessThan(16 * MB);
  });
});
