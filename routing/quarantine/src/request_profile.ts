import {createHash} from 'node:crypto';
import type {PromptPart} from '@sardinestile/ports';
import type {SharedPart} from './evidence_item.js';

/** Prefix of the fingerprints of requests; ids of prompt parts contain an `@`. */
const FINGERPRINT_PREFIX = 'request:';

/** Depth of a whole request: behind all parts of any prompt. */
const WHOLE_REQUEST_DEPTH = 10_000;

/** Length of the hash in a fingerprint, in characters of six bits. */
const HASH_LENGTH = 12;

/** Largest body whose hash costs less than a twentieth of a millisecond, in bytes. */
const MAX_CHEAP_BODY_BYTES = 16_384;

/** What makes a request the same as another one. */
export interface RequestContent {
  host: string;
  /** Path with its query. */
  path: string;
  /** Organisation of the caller; absent on routes that are open to all. */
  organisation: string | undefined;
  body: Buffer | null;
  promptParts: readonly PromptPart[];
}

/** What crashes of upstreams may have to do with a request. */
export interface RequestProfile {
  promptParts: readonly PromptPart[];
  /** Returns a text that is equal for equal requests, whichever gateway they come to. */
  fingerprint(): string;
  /** Whether the fingerprint costs so little that each answered request can have one. */
  isFingerprintCheap: boolean;
}

/** Creates the profile of a request. The fingerprint is computed once, when it is first needed. */
export function createRequestProfile(content: RequestContent): RequestProfile {
  let fingerprint: string | undefined;
  return {
    promptParts: content.promptParts,
    fingerprint: () => (fingerprint ??= computeFingerprint(content)),
    isFingerprintCheap: (content.body?.length ?? 0) <= MAX_CHEAP_BODY_BYTES,
  };
}

/** Whether an id is the fingerprint of a request rather than the id of a prompt part. */
export function isFingerprint(id: string): boolean {
  return id.startsWith(FINGERPRINT_PREFIX);
}

/** Returns the prompt parts that other requests may share: all but the last. */
export function sharedPromptParts({promptParts}: RequestProfile): SharedPart[] {
  return promptParts.slice(0, -1).map(({id}, depth) => ({id, depth}));
}

/** Returns everything about a request that a crash may be due to. */
export function toSharedParts(profile: RequestProfile): SharedPart[] {
  return [
    ...sharedPromptParts(profile),
    {id: profile.fingerprint(), depth: WHOLE_REQUEST_DEPTH},
  ];
}

function computeFingerprint(content: RequestContent): string {
  const {host, path, organisation = '', body, promptParts} = content;
  const texts = [host.toLowerCase(), path, organisation];
  const hash = createHash('sha1').update(JSON.stringify(texts));
  if (body) hash.update(body);
  // Without a body, only its prompt tells a request from others of its caller.
  else hash.update(JSON.stringify(promptParts.map(({id}) => id)));
  return FINGERPRINT_PREFIX + hash.digest('base64url').slice(0, HASH_LENGTH);
}
