import {
  createQuarantine,
  createRequestProfile,
  toSharedParts,
  type Quarantine,
  type RequestProfile,
} from '@sardinestile/quarantine';

const DURATION_MS = 500;

/** Crashes that are kept as evidence, and requests that were lost in each. */
const CRASHES = 64;
const REQUESTS_PER_CRASH = 64;

/** What is known of crashes while the cost is measured. */
export type QuarantineState = 'calm' | 'suspicions' | 'harmfulRequest';

const CRASHES_OF_STATE: Readonly<Record<QuarantineState, number>> = {
  calm: 0,
  suspicions: CRASHES,
  harmfulRequest: CRASHES,
};

/** Returns the time for checking and answering one request, in microseconds. */
export function measureQuarantineCostUs(
  state: QuarantineState,
  bodyBytes: number,
): number {
  let nowMs = 1_000_000;
  const quarantine = createQuarantine({
    nowMs: () => nowMs,
    isTrialGateway: () => false,
    onItem: () => undefined,
    onQuarantined: () => undefined,
    onReleased: () => undefined,
  });
  for (let i = 0; i < CRASHES_OF_STATE[state]; i++) {
    nowMs += 100;
    const harmful =
      state === 'harmfulRequest' ? [createProfile(0, Buffer.from('bad'))] : [];
    recordCrash(quarantine, nowMs, i, harmful);
  }
  nowMs += 1_000;
  quarantine.evaluate();
  const body = Buffer.alloc(bodyBytes, 'x');
  const startedAtMs = performance.now();
  let requests = 0;
  while (performance.now() - startedAtMs < DURATION_MS) {
    const profile = createProfile(requests++, body);
    quarantine.check(profile);
    quarantine.recordAnswer(profile);
  }
  return (1_000 * (performance.now() - startedAtMs)) / requests;
}

function createProfile(number: number, body: Buffer): RequestProfile {
  return createRequestProfile({
    host: 'calls.example',
    path: `/x/${number}`,
    organisation: 'org-one',
    body,
    promptParts: ['first', `s${number % 100}`, `own${number}`].map(id => ({
      id,
      tokens: 100,
    })),
  });
}

function recordCrash(
  quarantine: Quarantine,
  atMs: number,
  number: number,
  harmful: readonly RequestProfile[],
): void {
  const lost = Array.from({length: REQUESTS_PER_CRASH}, (_, i) =>
    createProfile(-1 - i, Buffer.from(`lost ${number}`)),
  );
  quarantine.record(
    {
      kind: 'crash',
      upstreamId: `u${number}`,
      startedAtWallMs: 0,
      atMs,
      parts: [...harmful, ...lost].flatMap(toSharedParts),
    },
    'own',
  );
}
