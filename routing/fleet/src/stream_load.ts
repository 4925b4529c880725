/** Streams that run at one upstream, by the gap that their callers want. */
export interface StreamLoad {
  add(requestId: string, gapMs: number): void;
  remove(requestId: string): void;
  /** Streams that a pause of this length would make late. */
  lateWithPause(pauseMs: number): number;
  readonly size: number;
}

/** Makes an empty load. */
export function createStreamLoad(): StreamLoad {
  const gaps = new Map<string, number>();
  /** Number of streams by gap; callers want few different ones. */
  const counts = new Map<number, number>();
  const change = (gapMs: number, by: number) => {
    const count = (counts.get(gapMs) ?? 0) + by;
    if (count > 0) counts.set(gapMs, count);
    else counts.delete(gapMs);
  };
  return {
    add(requestId, gapMs) {
      const known = gaps.get(requestId);
      if (known !== undefined) change(known, -1);
      gaps.set(requestId, gapMs);
      change(gapMs, 1);
    },
    remove(requestId) {
      const gapMs = gaps.get(requestId);
      if (gapMs === undefined) return;
      gaps.delete(requestId);
      change(gapMs, -1);
    },
    lateWithPause(pauseMs) {
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
