import {describe, it} from 'node:test';
import {
  chooseTarget,
  createRouteIndex,
  type Route,
  type RouteTable,
} from '@sardinestile/route_table';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  checkRouteTable,
  compareVersions,
  TABLE_SECTIONS,
} from '../src/index.js';

const SERVICES = ['a', 'b', 'c'];
const KEYS = ['key-1', 'key-2', 'key-3'];

function createRoute(fields: Partial<Route>): Route {
  return {
    name: 'route',
    host: 'host',
    pathPrefix: '/',
    kind: 'once',
    targets: [{service: 'a', weight: 1}],
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 0,
    maxAttempts: 3,
    isOpen: false,
    isResumable: false,
    hasPromptParts: false,
    ...fields,
  };
}

function createTable(fields: Partial<RouteTable>): RouteTable {
  return {
    version: 1,
    routes: [createRoute({})],
    services: [{name: 'a', healthPath: '/health', maxConnections: 1}],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...fields,
  };
}

const routeArbitrary = fc
  .record({
    host: fc.constantFrom('host', 'HOST', 'host:80', 'other'),
    pathPrefix: fc.constantFrom('/', '/a/', '/a/b/', '/a?b/', '/a b/'),
    targets: fc.array(
      fc.record({
        service: fc.constantFrom(...SERVICES),
        weight: fc.constantFrom(0, 1, 2.5),
      }),
      {minLength: 1, maxLength: 3},
    ),
  })
  .map(createRoute);

const tableArbitrary = fc
  .record({
    routes: fc.array(routeArbitrary, {maxLength: 6}),
    services: fc.constant(
      SERVICES.map(name => ({name, healthPath: '/', maxConnections: 1})),
    ),
    keyHolders: fc
      .array(fc.uniqueArray(fc.constantFrom(...KEYS)), {maxLength: 3})
      .map(lists => lists.map((keys, i) => ({name: `org-${i}`, keys}))),
  })
  .map(createTable);

const requestArbitrary = fc.record({
  host: fc.constantFrom('host', 'Host:80', 'host:80', 'other', 'none'),
  path: fc
    .array(fc.constantFrom('a', 'b', '', 'a?b', '%20'), {maxLength: 4})
    .map(parts => `/${parts.join('/')}`),
  key: fc.constantFrom(...KEYS),
  requestId: fc.uuid(),
});

describe('checkRouteTable', () => {
  // Guards against a finding for a valid route; a route of kind `once` may have
  // several attempts.
  it('finds nothing in a table without contradictions', () => {
    expect(checkRouteTable(createTable({}))).toEqual([]);
  });

  // Guards against a warning about an entry that serves requests: an operator
  // who trusts it would remove the entry.
  it('reports only entries that none of a thousand drawn requests match', () => {
    let flaggedCount = 0;
    fc.assert(
      fc.property(
        tableArbitrary,
        fc.array(requestArbitrary, {minLength: 1_000, maxLength: 1_000}),
        (table, requests) => {
          const flagged = new Set(
            checkRouteTable(table)
              .filter(({rule}) => rule !== 'split-zero')
              .map(({rule, path}) =>
                [rule, ...path.filter(part => typeof part === 'number')].join(
                  ' ',
                ),
              ),
          );
          flaggedCount += flagged.size;
          const index = createRouteIndex(table);
          for (const {host, path, key, requestId} of requests) {
            const holder = index.keyHolderOf(key);
            if (holder) {
              const holderIndex = table.keyHolders!.indexOf(holder);
              const keyIndex = holder.keys.indexOf(key);
              expect(
                flagged.has(`key-hidden ${holderIndex} ${keyIndex}`),
              ).toEqual(false);
              expect(
                flagged.has(`organisation-without-key ${holderIndex}`),
              ).toEqual(false);
            }
            const route = index.match(host, path);
            if (!route) continue;
            const routeIndex = table.routes.indexOf(route);
            expect(flagged.has(`route-hidden ${routeIndex}`)).toEqual(false);
            expect(flagged.has(`route-never-matches ${routeIndex}`)).toEqual(
              false,
            );
            const service = chooseTarget(route, requestId);
            const serviceIndex = SERVICES.indexOf(service);
            expect(
              flagged.has(`service-never-matches ${serviceIndex}`),
            ).toEqual(false);
            // A service may occur twice in a split, once without weight.
            const targetFlags = route.targets.flatMap((target, i) =>
              target.service === service
                ? [flagged.has(`target-never-matches ${routeIndex} ${i}`)]
                : [],
            );
            expect(targetFlags.every(Boolean)).toEqual(false);
          }
        },
      ),
      {numRuns: 60},
    );
    // Without flagged entries the property would hold for no reason.
    expect(flaggedCount > 0).toEqual(true);
  });
});

describe('compareVersions of route tables', () => {
  const before = createTable({
    keyHolders: [{name: 'org', keys: ['secret-key', 'other-key']}],
  });

  // Guards against a removed key that is missed, or printed in clear.
  it('returns a removed key by its hash', () => {
    const after = {...before, keyHolders: [{name: 'org', keys: ['other-key']}]};
    const differences = compareVersions(TABLE_SECTIONS, before, after);
    expect(differences.map(({kind, section}) => [kind, section])).toEqual([
      ['removed', 'keys'],
    ]);
    expect(JSON.stringify(differences).includes('secret-key')).toEqual(false);
  });

  // Guards against a move of a route that seems to affect running requests.
  it('states that a route that moves to another service affects new requests', () => {
    const route = createRoute({targets: [{service: 'b', weight: 1}]});
    const after = {...before, routes: [route]};
    expect(compareVersions(TABLE_SECTIONS, before, after)).toEqual([
      {
        kind: 'changed',
        section: 'routes',
        entry: 'host/',
        fields: ['targets'],
        effects: ['affects new requests only; others continue'],
      },
    ]);
  });
});
