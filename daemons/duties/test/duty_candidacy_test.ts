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

function peersNamed(names: string, seesDutyHeld = false): DutyPeer[] {
  return [...names].map(instance => ({
    instance,
    isStopping: false,
    seesDutyHeld,
  }));
}

describe('createDutyCandidacy', () => {
  it('lets the first three by name compete', () => {
    const {candidacy, state} = createTestCandidacy('d');
    state.peers = peersNamed('abce', true);
    expect(candidacy.isCandidate(false)).toEqual(false);
    state.peers = peersNamed('abe', true);
    expect(candidacy.isCandidate(false)).toEqual(true);
  });

  it('lets the next three compete after a term without a holder', () => {
    const {candidacy, state} = createTestCandidacy('d');
    state.peers = peersNamed('abc');
    expect(candidacy.isCandidate(false)).toEqual(false);
    state.nowMs = LEASE_MS - 1;
    expect(candidacy.isCandidate(false)).toEqual(false);
    state.nowMs = LEASE_MS;
    expect(candidacy.isCandidate(false)).toEqual(true);
    state.peers = peersNamed('abc', true);
    expect(candidacy.isCandidate(false)).toEqual(false);
  });

  it('keeps a process that is stopping out, on its own side and on others', () => {
    const {candidacy, state} = createTestCandidacy('d');
    state.peers = peersNamed('abc', true);
    state.peers[0].isStopping = true;
    expect(candidacy.isCandidate(false)).toEqual(true);
    state.isStopping = true;
    expect(candidacy.isCandidate(true)).toEqual(false);
  });
});
