import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createDutyCandidacy, type DutyPeer} from '../src/index.js';

const LEASE_MS = 3_000;

function createTestCandidacy(instance: string) {
  const state = {
    nowMs: 0,
    isStopping: false,
    peers: [] as DutyPeer[],
  };
  const candidacy = createDutyCandidacy({
    instance,
    clock: {monotonicMs: () => state.nowMs, wallMs: () => state.nowMs},
    leaseMs: LEASE_MS,
    peers: () => state.peers,
    isStopping: () => state.isStopping,
  });
  return {candidacy, state};
}

function createPeers(names: string, hasSeenDutyHeld = false): DutyPeer[] {
  return [...names].map(instance => ({
    instance,
    isStopping: false,
    hasSeenDutyHeld,
  }));
}

describe('createDutyCandidacy', () => {
  it('lets the first three processes by name compete', () => {
    const {candidacy, state} = createTestCandidacy('d');
    state.peers = createPeers('abce', true);
    expect(candidacy.isAllowedToClaim(false)).toEqual(false);
    state.peers = createPeers('abe', true);
    expect(candidacy.isAllowedToClaim(false)).toEqual(true);
  });

  it('lets the next three processes compete after a lease term without a holder', () => {
    const {candidacy, state} = createTestCandidacy('d');
    state.peers = createPeers('abc');
    expect(candidacy.isAllowedToClaim(false)).toEqual(false);
    state.nowMs = LEASE_MS - 1;
    expect(candidacy.isAllowedToClaim(false)).toEqual(false);
    state.nowMs = LEASE_MS;
    expect(candidacy.isAllowedToClaim(false)).toEqual(true);
    state.peers = createPeers('abc', true);
    expect(candidacy.isAllowedToClaim(false)).toEqual(false);
  });

  it('excludes a stopping process, both itself and a peer', () => {
    const {candidacy, state} = createTestCandidacy('d');
    state.peers = createPeers('abc', true);
    state.peers[0].isStopping = true;
    expect(candidacy.isAllowedToClaim(false)).toEqual(true);
    state.isStopping = true;
    expect(candidacy.isAllowedToClaim(true)).toEqual(false);
  });
});
