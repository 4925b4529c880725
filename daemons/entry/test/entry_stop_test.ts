import {once} from 'node:events';
import {request as httpRequest} from 'node:http';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  createPlatformClients,
  type PlatformClients,
} from '@sardinestile/clients';
import {createLogger} from '@sardinestile/logger';
import {
  startPlatformStandIn,
  type PlatformStandIn,
} from '@sardinestile/stand_ins';
import {expect} from 'earl';
import {startEntry, type Entry} from '../src/index.js';

const HOST = '127.0.0.1';
const ADMIN_KEY = 'admin';

/** Delay of each answer of the platform, in milliseconds. */
const PLATFORM_DELAY_MS = 300;

describe('an entry that stops', () => {
  let platform: PlatformStandIn;
  let clients: PlatformClients;
  let entry: Entry;
  beforeEach(async () => {
    platform = await startPlatformStandIn({host: HOST, port: 0});
    clients = createPlatformClients({
      baseUrl: `http://${HOST}:${platform.port}`,
    });
    entry = await startEntry({
      instance: 'entry-1',
      availabilityZone: 'zone-1',
      host: HOST,
      port: 0,
      peerPort: 0,
      opsPort: 0,
      adminKey: ADMIN_KEY,
      subsetSize: 1,
      maxBodyBytes: 1_024,
      keyFreshnessLimitMs: 10_000,
      leaveDelayMs: 0,
      platform: clients,
      logger: createLogger({level: 'error'}),
    });
  });
  afterEach(async () => {
    platform.close();
    await clients.close();
  });

  it('answers an administration request that is being stored', async () => {
    platform.setFaults({delayMs: PLATFORM_DELAY_MS});
    const request = httpRequest({
      host: HOST,
      port: entry.opsPort,
      method: 'PUT',
      path: '/admin/v1/drains/upstream-1',
      headers: {
        authorization: `Bearer ${ADMIN_KEY}`,
        'content-type': 'application/json',
      },
    });
    const responded = once(request, 'response');
    request.end(JSON.stringify({isDraining: true}));
    await new Promise(resolve => setTimeout(resolve, PLATFORM_DELAY_MS / 3));
    const [[response]] = await Promise.all([responded, entry.stop()]);
    expect(response.resume().statusCode).toEqual(200);
  });
});
