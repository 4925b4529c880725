/** Running streams of one upstream with their target gaps between events. */
export interface StreamLoad {
  /** Adds a stream, or replaces the target gap of a stream that was added. */
  add(requestId: string, gapMs: number): void;
  remove(requestId: string): void;
  /** Returns the number of streams that a pause of this length makes late. */
  countLateAfterPause(pauseMs: number): number;
  readonly size: number;
}

/** Creates a load without streams. */
export function createStreamLoad(): StreamLoad {
  const gaps = new Map<string, number>();
  /** Number of streams by target gap. There are few different gaps. */
  const counts = new Map<number, number>();
  const adjustCount = (gapMs: number, change: number) => {
    const count = (counts.get(gapMs) ?? 0) + change;
    if (count > 0) counts.set(gapMs, count);
    else counts.delete(gapMs);
  };
  return {
    add(requestId, gapMs) {
      const previousGapMs = gaps.get(requestId);
      if (previousGapMs !== undefined) adjustCount(previousGapMs, -1);
      gaps.set(requestId, gapMs);
      adjustCount(gapMs, 1);
    },
    remove(requestId) {
      const gapMs = gaps.get(requestId);
      if (gapMs === undefined) return;
      gaps.delete(requestId);
      adjustCount(gapMs, -1);
    },
    countLateAfterPause(pauseMs) {
      let late = 0;
      for (const [gapMs, count] of counts) {
        if (pauseMs > gapMs) late += count;
      }
      return late;
    },
    get size() {
      return gaps.size;
    },
  };
}
