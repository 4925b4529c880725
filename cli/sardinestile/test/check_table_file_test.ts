import {describe, it} from 'node:test';
import {expect} from 'earl';
import {checkTableFile} from '../src/check_configuration.js';

function createRoute(name: string, fields: Record<string, unknown>) {
  return {
    name,
    host: 'h',
    prefix: `/${name}/`,
    kind: 'non_idempotent',
    service: 'pool',
    timeout_ms: 5_000,
    target_latency_ms: 300,
    max_attempts: 2,
    ...fields,
  };
}

const half = (service: string, weight: number) => ({service, weight});
const replicas = (min: number, max: number) => ({
  min_replicas: min,
  max_replicas: max,
});

/** A table with at least one of each warning. */
const TABLE = {
  version: 1,
  routes: [
    createRoute('skipped', {service: undefined}),
    createRoute('hidden', {prefix: '/a/'}),
    createRoute('hiding', {prefix: '/a/'}),
    createRoute('port', {host: 'h:80'}),
    createRoute('zero', {traffic_split: [half('pool', 0), half('pool', 0)]}),
    createRoute('split', {traffic_split: [half('pool', 1), half('idle', 0)]}),
    createRoute('undefined', {traffic_split: [half('nowhere', 1)]}),
    createRoute('slow', {timeout_ms: 200}),
    createRoute('resumable', {
      kind: 'streaming',
      resumable: true,
      max_attempts: 1,
    }),
  ],
  services: [
    {name: 'pool', autoscale: replicas(2, 1)},
    {name: 'idle', autoscale: replicas(0, 0)},
  ],
  limits: {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  },
  tenants: [
    {name: 'org-one', api_keys: ['key']},
    {name: 'org-two', api_keys: ['key']},
    {name: 'org-three', api_keys: []},
  ],
};
const SOURCE = JSON.stringify(TABLE, undefined, 2);

describe('checkTableFile', () => {
  // Guards against a check that is lost, and against paths that are shifted by
  // a route that is left out.
  it('reports one of each warning with paths of the format', () => {
    const {findings} = checkTableFile(SOURCE);
    expect(findings.map(({rule, path}) => `${rule} ${path}`).sort()).toEqual([
      'key-hidden tenants.0.api_keys.0',
      'min-over-max services.0.autoscale.max_replicas',
      'organisation-without-key tenants.2.name',
      'resumption-unused routes.8.resumable',
      'route-hidden routes.1.prefix',
      'route-never-matches routes.0',
      'route-never-matches routes.3.host',
      'service-never-matches services.1.name',
      'service-undefined routes.6.traffic_split.0.service',
      'service-without-upstreams services.1.autoscale.max_replicas',
      'split-zero routes.4.traffic_split',
      'target-never-matches routes.5.traffic_split.1.weight',
      'timeout-below-target routes.7.timeout_ms',
    ]);
    const lines = SOURCE.split('\n');
    const slow = findings.find(({rule}) => rule === 'timeout-below-target')!;
    expect(lines[slow.line - 1].slice(slow.column - 1)).toEqual('200,');
  });

  // Guards against errors without a position.
  it('reports invalid fields and syntax errors with their position', () => {
    const invalid = SOURCE.replace('"timeout_ms": 200', '"timeout_ms": -1');
    const [finding] = checkTableFile(invalid).findings;
    expect(finding.path).toEqual('routes.7.timeout_ms');
    expect(finding.line > 1).toEqual(true);
    const [syntaxError] = checkTableFile('{\n  "version": ]\n}').findings;
    expect([syntaxError.level, syntaxError.line]).toEqual(['error', 2]);
  });

  // Guards against a comparison that misses the removal of an entry.
  it('compares with another table', () => {
    const other = {
      ...TABLE,
      routes: [...TABLE.routes, createRoute('old', {})],
    };
    const source = JSON.stringify(other);
    const {differences} = checkTableFile(SOURCE, {name: 'other', source});
    expect(differences?.map(({kind, entry}) => [kind, entry])).toEqual([
      ['removed', 'h/old/'],
    ]);
  });
});
