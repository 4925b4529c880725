// Preloaded into a gateway process. A SIGUSR2 steps its wall clock, alternately
// forward and backward; the next SIGUSR2 ends the step.
const STEP_MS = 7_000;

const realNow = Date.now;
let direction = 1;
let offsetMs = 0;

process.on('SIGUSR2', () => {
  if (offsetMs === 0) {
    offsetMs = direction * STEP_MS;
    direction = -direction;
  } else {
    offsetMs = 0;
  }
});

Date.now = () => realNow() + offsetMs;
