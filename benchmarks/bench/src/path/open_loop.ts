import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';

/** Options for `runOpenLoop`. */
export interface OpenLoopOptions {
  /** Target addresses, used in turn. */
  addresses: readonly string[];
  secret: string;
  model: string;
  requestsPerS: number;
  tokensPerRequest: number;
  durationMs: number;
}

/** Latencies and counts of an open-loop load. */
export interface OpenLoopResult {
  /** Time from sending a request to its first token, in microseconds. */
  firstTokenUs: Histogram;
  /** Time between two chunks of a response, in microseconds. */
  intervalUs: Histogram;
  requests: number;
  failures: number;
  tokens: number;
}

/** Sends requests at a fixed rate, regardless of how long responses take. */
export async function runOpenLoop(
  options: OpenLoopOptions,
): Promise<OpenLoopResult> {
  const result: OpenLoopResult = {
    firstTokenUs: build(),
    intervalUs: build(),
    requests: 0,
    failures: 0,
    tokens: 0,
  };
  const dispatcher = new Agent({pipelining: 1});
  const pending: Array<Promise<void>> = [];
  const startedAtMs = performance.now();
  const total = Math.round((options.durationMs / 1000) * options.requestsPerS);
  for (let index = 0; index < total; index++) {
    const scheduledAtMs = startedAtMs + (index * 1000) / options.requestsPerS;
    const delayMs = scheduledAtMs - performance.now();
    if (delayMs > 0) await new Promise(done => setTimeout(done, delayMs));
    const address = options.addresses[index % options.addresses.length];
    pending.push(
      sendRequest(options, address, index, dispatcher, result).catch(() => {
        result.failures++;
      }),
    );
  }
  await Promise.all(pending);
  await dispatcher.close();
  return result;
}

async function sendRequest(
  options: OpenLoopOptions,
  address: string,
  index: number,
  dispatcher: Agent,
  result: OpenLoopResult,
): Promise<void> {
  const sentAtMs = performance.now();
  let lastEventAtMs = 0;
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    dispatcher,
    headers: {authorization: `Bearer ${options.secret}`},
    body: JSON.stringify({
      model: options.model,
      stream: true,
      max_tokens: options.tokensPerRequest,
      messages: [{role: 'user', content: `question ${index}`}],
    }),
  });
  if (response.statusCode !== 200) throw new Error('refused');
  result.requests++;
  for await (const bytes of response.body as AsyncIterable<Buffer>) {
    const nowMs = performance.now();
    const tokens = countTokenEvents(bytes);
    if (lastEventAtMs === 0) recordMs(result.firstTokenUs, nowMs - sentAtMs);
    else recordMs(result.intervalUs, nowMs - lastEventAtMs);
    lastEventAtMs = nowMs;
    result.tokens += tokens;
  }
}

function countTokenEvents(bytes: Buffer): number {
  let count = 0;
  for (
    let at = bytes.indexOf('data: {');
    at >= 0;
    at = bytes.indexOf('data: {', at + 1)
  ) {
    count++;
  }
  return count;
}

function recordMs(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(1, Math.round(durationMs * 1000)));
}
