import type {ProtocolUnderTest} from './protocol.js';
import {CONFIG_PROTOCOL} from './protocols/config_protocol.js';
import {IDEMPOTENCY_PROTOCOL} from './protocols/idempotency_protocol.js';
import {LEASE_PROTOCOL} from './protocols/lease_protocol.js';
import {USAGE_PROTOCOL} from './protocols/usage_protocol.js';

/** Protocols over the table service that the fault matrix runs. */
export const PROTOCOLS: readonly ProtocolUnderTest[] = [
  LEASE_PROTOCOL,
  CONFIG_PROTOCOL,
  IDEMPOTENCY_PROTOCOL,
  USAGE_PROTOCOL,
];
