// Preloaded into a gateway process. Each iteration of its event loop takes a few milliseconds
// more, as beside other work on a processor that is too slow.
const BUSY_MS = 3;

const work = () => {
  const endMs = performance.now() + BUSY_MS;
  while (performance.now() < endMs);
  setImmediate(work);
};
work();
