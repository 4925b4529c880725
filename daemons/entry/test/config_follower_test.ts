import {describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import type {Instance} from '@sardinestile/ports';
import {createConfigReplica, encodeConfigUpdate} from '@sardinestile/replica';
import {startSessionServer, type ConfigPush} from '@sardinestile/session';
import {expect} from 'earl';
import {startConfigFollower} from '../src/config_follower.js';

const UNREACHABLE_ADDRESS = '127.0.0.1:1';

function createEntryInstance(id: string, address: string): Instance {
  return {id, role: 'entry', address, availabilityZone: 'z', isLeaving: false};
}

function startTestFollower(instances: Instance[], isStoreUp: boolean) {
  const replica = createConfigReplica();
  const refresh = async () => {
    if (!isStoreUp) throw new Error('down');
  };
  const started = startConfigFollower({
    instance: 'self',
    replica,
    store: {refresh, append: async () => 0, history: async () => []},
    instanceList: {list: async () => instances},
    logger: createLogger({level: 'silent'}),
    keyFreshnessLimitMs: 60_000,
    onInstancesRead: () => {},
  });
  return {replica, started};
}

describe('startConfigFollower', () => {
  it('reports fresh keys while the store can be read', async () => {
    const {started} = startTestFollower(
      [createEntryInstance('peer', UNREACHABLE_ADDRESS)],
      true,
    );
    const follower = await started;
    expect(follower.areKeysFresh).toEqual(true);
    follower.stop();
  });

  it('reports stale keys when neither the store nor a peer can be reached', async () => {
    const {started} = startTestFollower(
      [createEntryInstance('peer', UNREACHABLE_ADDRESS)],
      false,
    );
    const follower = await started;
    expect(follower.areKeysFresh).toEqual(false);
    follower.stop();
  });

  it('reports fresh keys without the store when there is no other entry', async () => {
    const {started} = startTestFollower(
      [createEntryInstance('self', UNREACHABLE_ADDRESS)],
      false,
    );
    const follower = await started;
    expect(follower.areKeysFresh).toEqual(true);
    follower.stop();
  });

  it('pulls the configuration from a peer while the store is down', async () => {
    const peer = createConfigReplica();
    const key = {keyId: 'k', organisation: 'o', secretHash: 'h'};
    const header = {version: 1, writerToken: 'w', acceptedAtMs: 0};
    const change = {...header, kind: 'keyGranted' as const, key};
    peer.apply({version: 1, changes: [change]});
    const server = await startSessionServer({
      host: '127.0.0.1',
      port: 0,
      pullConfig: since =>
        encodeConfigUpdate(peer.createUpdateSince(since)) as ConfigPush,
    });
    const address = `127.0.0.1:${server.port}`;
    const {replica, started} = startTestFollower(
      [createEntryInstance('peer', address)],
      false,
    );
    const follower = await started;
    expect(follower.areKeysFresh).toEqual(true);
    expect(replica.hasKey('k')).toEqual(true);
    follower.stop();
    await server.close();
  });
});
