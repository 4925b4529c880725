import type {
  ReceivedRequest,
  UpstreamBehaviour,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import {ROUTE_PATHS, type GatewayCluster} from '@sardinestile/hosting_tests';
import {EVENTS_PER_STREAM} from './guarantees.js';

/** Times after a crash at which the registration expires and another upstream starts. */
const REGISTRATION_EXPIRY_MS = 1_500;
const UPSTREAM_RESTART_MS = 800;

/** Time between the events of long streams, in milliseconds. */
const LONG_STREAM_GAP_MS = 40;

/** Header in which a call states the number of events of a long stream. */
export const STREAM_EVENTS_HEADER = 'stream-events';

/** Header in which a call states the length of its answer, and the largest one, in bytes. */
export const ANSWER_BYTES_HEADER = 'answer-bytes';
export const MAX_ANSWER_BYTES = 4_194_304;

const LARGE_ANSWER = 'a'.repeat(MAX_ANSWER_BYTES);

/** Bytes that the soak keeps of each body. */
const KEPT_BODY_BYTES = 1_024;

/** Start of the bodies of requests that crash upstreams. */
export const HARMFUL_BODY_PREFIX = 'bad request';

/** Sets the usual behaviour, and replaces the upstream after a crash. */
export function prepareUpstream(
  cluster: GatewayCluster,
  upstream: UpstreamStandIn,
  random: () => number,
): void {
  upstream.chooseBehaviour = createUsualBehaviour(random);
  upstream.onCrash = () => {
    setTimeout(
      () => cluster.store.remove('servers', upstream.id),
      REGISTRATION_EXPIRY_MS,
    );
    setTimeout(() => {
      const id = `u${cluster.upstreams.length + 1}`;
      void cluster
        .addUpstream(id, upstream.service, upstream.softwareVersion)
        .then(next => prepareUpstream(cluster, next, random));
    }, UPSTREAM_RESTART_MS);
  };
}

/** Creates a behaviour that answers each route correctly, with a random delay. */
export function createUsualBehaviour(
  random: () => number,
): (request: ReceivedRequest) => UpstreamBehaviour {
  return request => {
    dropLargeBody(request);
    const {url, headers, body} = request;
    if (body.toString().startsWith(HARMFUL_BODY_PREFIX)) {
      return {kind: 'crash', afterMs: 20 + random() * 60, isUnanswered: true};
    }
    if (String(headers['prompt-prefix']).includes('bad')) {
      return {kind: 'crash', afterMs: 40 + random() * 120};
    }
    if (url !== ROUTE_PATHS.stream && url !== ROUTE_PATHS.resumable) {
      const bytes = headers[ANSWER_BYTES_HEADER];
      return {
        kind: 'answer',
        delayMs: random() * 80,
        body:
          bytes === undefined
            ? undefined
            : LARGE_ANSWER.slice(0, Number(bytes)),
      };
    }
    const events = headers[STREAM_EVENTS_HEADER];
    return events === undefined
      ? {kind: 'stream', events: EVENTS_PER_STREAM, gapMs: 5 + random() * 60}
      : {kind: 'stream', events: Number(events), gapMs: LONG_STREAM_GAP_MS};
  };
}

/** Drops all but the start of a body, as upstreams keep what they received. */
export function dropLargeBody(request: ReceivedRequest): void {
  if (request.body.length <= KEPT_BODY_BYTES) return;
  request.body = Buffer.from(request.body.subarray(0, KEPT_BODY_BYTES));
}
