import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createGatewayCluster,
  createKeyedHeaders,
  HOST,
  startConnectedGateways,
  waitUntil,
  type GatewayCluster,
  type TestGateway,
} from '../src/index.js';

/** Names that plain objects inherit, or by which their prototype is set. */
const ODD_NAMES = ['__proto__', 'constructor', 'toString', 'hasOwnProperty'];

const keyOf = (name: string) => `key-of-${name}`;
const pathOf = (name: string) => `/odd/${name}/x`;

describe('gateways beside names that objects treat in another way', () => {
  let cluster: GatewayCluster;
  let gateways: TestGateway[];

  before(async () => {
    cluster = await createGatewayCluster(1);
    gateways = await startConnectedGateways(cluster, 2);
  });
  after(() => cluster.close());

  const callUsual = (gateway: TestGateway, id: string) =>
    gateway.call({
      path: '/idempotent/x',
      headers: createKeyedHeaders(id),
    });

  // Guards against one registration that stops all gateways.
  it('serve while an upstream of a service that no configuration names is registered', async () => {
    for (const [i, service] of ODD_NAMES.entries()) {
      const upstream = await cluster.addUpstream(`odd-${i}`, service, service);
      cluster.register(upstream, {service, zone: service, seq: i});
    }
    for (const {logs} of gateways) {
      await waitUntil('the registrations to be read', () =>
        cluster.store
          .rows('system', 'p')
          .some(
            ({key, value}) =>
              key === 'streams/versions' &&
              ODD_NAMES.every(name =>
                Buffer.from(value, 'base64').toString().includes(`"${name}"`),
              ),
          ),
      );
      expect(logs.some(line => line.includes('input_failed'))).toEqual(false);
    }
    expect(Object.keys(Object.prototype)).toEqual([]);
    for (const [i, gateway] of gateways.entries()) {
      const {status} = await callUsual(gateway, `usual-${i}`);
      expect(status).toEqual(200);
      expect(await gateway.scrape()).toInclude('sardinestile_');
    }
  });

  it('route requests to such services, and count the usage of such organisations', async () => {
    cluster.configure(config => {
      const [, usual] = config.routes;
      for (const name of ODD_NAMES) {
        const prefix = `/odd/${name}/`;
        const odd = {name, host: HOST, prefix, service: name};
        config.routes.push({...usual, ...odd});
        config.services.push({...config.services[0], name});
        config.tenants.push({name, api_keys: [keyOf(name)]});
      }
    });
    const [gateway] = gateways;
    for (const [i, name] of ODD_NAMES.entries()) {
      await waitUntil(`the service ${name} to be in use`, async () => {
        const {status} = await gateway.call({
          path: pathOf(name),
          headers: createKeyedHeaders(`odd-${i}-${performance.now()}`, {
            Authorization: `Bearer ${keyOf(name)}`,
          }),
        });
        return status === 200;
      });
    }
    await waitUntil('the usage to be reported', () =>
      ODD_NAMES.every(name =>
        cluster.duties.accepted.some(({path, body}) => {
          const counts = path === '/usage' ? Object.entries(body.counts!) : [];
          return counts.some(
            ([organisation, requests]) => organisation === name && requests > 0,
          );
        }),
      ),
    );
  });

  it('forward a response with headers of such names', async () => {
    const [upstream] = cluster.upstreams;
    upstream.extraHeaders = Object.fromEntries(
      ODD_NAMES.map(name => [name, 'x']),
    );
    const {status, isComplete} = await callUsual(gateways[0], 'odd-headers');
    expect({status, isComplete}).toEqual({status: 200, isComplete: true});
    upstream.extraHeaders = {};
  });
});
