// Loaded before a gateway: each SIGUSR2 steps its time of day by seconds, and back at the next one.
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
