import {createHash} from 'node:crypto';
import type {ConfigReplica, KeyRecord} from '@sardinestile/replica';

/**
 * Returns the SHA-256 of a secret in hexadecimal, the form that the
 * configuration stores.
 */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Returns the secret from a request's bearer token; undefined if there is none.
 */
export function readBearerToken(headers: Headers): string | undefined {
  const match = /^Bearer\s+(\S+)$/i.exec(headers.get('authorization') ?? '');
  return match?.[1];
}

/**
 * Finds the record of a secret's key; undefined if the key is unknown or
 * revoked.
 */
export function authenticate(
  replica: ConfigReplica,
  secret: string,
): KeyRecord | undefined {
  return replica.findKeyByHash(hashSecret(secret));
}
