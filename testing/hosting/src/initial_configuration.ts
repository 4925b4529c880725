/** Host name of every route. */
export const HOST = 'calls.example';

/** API key of the only organisation in the initial configuration. */
export const INITIAL_API_KEY = 'key-one';

/** A path on each route, by the name of the route. */
export const ROUTE_PATHS = {
  once: '/once/x',
  idempotent: '/idempotent/x',
  resumable: '/resumable/x',
  stream: '/stream/x',
  open: '/open/x',
} as const;

/** Configuration in the format that the store holds. */
export interface StoredConfiguration {
  version: number;
  routes: Array<Record<string, unknown>>;
  services: Array<Record<string, unknown>>;
  limits: Record<string, number>;
  tenants: Array<{name: string; api_keys: string[]; priority?: number}>;
}

/** Returns the first version: five routes to one service, and one organisation. */
export function createInitialConfiguration(): StoredConfiguration {
  const route = (name: string, fields: Record<string, unknown>) => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    service: 'pool',
    timeout_ms: 5_000,
    target_latency_ms: 300,
    priority: 1,
    max_attempts: 2,
    anonymous: false,
    sticky: false,
    resumable: false,
    ...fields,
  });
  const streaming = {kind: 'streaming', target_gap_ms: 200};
  return {
    version: 1,
    routes: [
      route('once', {kind: 'non_idempotent', max_attempts: 2}),
      route('idempotent', {kind: 'idempotent'}),
      route('resumable', {...streaming, resumable: true}),
      route('stream', {...streaming, max_attempts: 1}),
      route('open', {kind: 'idempotent', anonymous: true}),
    ],
    services: [{name: 'pool', health_path: '/health', max_conns: 64}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 5_000,
    },
    tenants: [{name: 'org-one', api_keys: [INITIAL_API_KEY], priority: 1}],
  };
}
