import {describe, it} from 'node:test';
import type {LedgerLink} from '@sardinestile/ledger';
import {createLogger} from '@sardinestile/logger';
import type {PeerClient, RelayedUsage} from '@sardinestile/peer';
import {expect} from 'earl';
import {createPeerCalls} from '../src/shared/peer_calls.js';

const USAGE: RelayedUsage = {source: 'front-1', windowId: '1', sums: new Map()};

/** Creates calls to four peers, of which the store serves the ones with these ports. */
function createCalls(servedPorts: readonly number[]) {
  const asked: string[] = [];
  const peers = [1, 2, 3, 4].map(port => ({address: {host: 'h', port}}));
  const client = {
    async relayUsage(address: string) {
      asked.push(address);
      if (!servedPorts.some(port => address === `h:${port}`)) {
        throw new Error(`peer ${address} answered with 503`);
      }
    },
  } as unknown as PeerClient;
  const link = {livePeers: () => peers} as unknown as LedgerLink;
  const logger = createLogger({level: 'error'});
  return {asked, calls: createPeerCalls(client, () => link, logger)};
}

describe('relayUsage', () => {
  // Guards against counts that are lost since the one peer that was asked is rejected by
  // the store as well.
  it('asks further peers until one has stored the counts', async () => {
    const {asked, calls} = createCalls([3]);
    await calls.relayUsage(USAGE);
    expect(asked.at(-1)).toEqual('h:3');
    expect(new Set(asked).size).toEqual(asked.length);
  });

  it('asks no further peer after one has stored the counts', async () => {
    const {asked, calls} = createCalls([1, 2, 3, 4]);
    await calls.relayUsage(USAGE);
    expect(asked.length).toEqual(1);
  });

  it('rejects if no peer could store the counts', async () => {
    const {asked, calls} = createCalls([]);
    await expect(calls.relayUsage(USAGE)).toBeRejectedWith('answered with 503');
    expect(asked.length).toEqual(4);
  });
});
