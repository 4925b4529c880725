import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes of dropped buffers after which they are collected. */
const COLLECT_AFTER_BYTES = 8_388_608;

/** Frees buffers that are no longer used before they add up. */
export interface BufferCollector {
  /** Counts buffers that the process read, and will drop soon. */
  recordRead(bytes: number): void;
}

/** Options for createBufferCollector. */
export interface BufferCollectorOptions {
  /** Bytes that are read between two collections; 8 MiB by default. */
  collectAfterBytes?: number;
  /** Collects the young part of the heap, which holds what was read last; replaced in tests. */
  collect?: () => void;
}

/**
 * Creates a collector. V8 counts buffers outside of its heap, but lets tens of megabytes of
 * them wait for a collection, as their objects on the heap are small.
 */
export function createBufferCollector({
  collectAfterBytes = COLLECT_AFTER_BYTES,
  collect = loadYoungCollection(),
}: BufferCollectorOptions = {}): BufferCollector {
  let readBytes = 0;
  return {
    recordRead(bytes) {
      readBytes += bytes;
      if (readBytes < collectAfterBytes) return;
      readBytes = 0;
      collect();
    },
  };
}

/** Collects the whole heap, and buffers that no longer have an owner; takes tens of milliseconds. */
export function createFullCollection(): () => void {
  const collect = loadCollection();
  return () => collect({type: 'major'});
}

/** Returns V8's collection of the young part of the heap, which takes less than a millisecond. */
function loadYoungCollection(): () => void {
  const collect = loadCollection();
  return () => collect({type: 'minor'});
}

function loadCollection(): (options: {type: 'minor' | 'major'}) => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as ReturnType<typeof loadCollection>;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
