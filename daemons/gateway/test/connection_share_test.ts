import {describe, it} from 'node:test';
import {expect} from 'earl';
import {connectionShare} from '../src/upstreams/connection_share.js';

const GATEWAYS = {inFleet: 66, inGroup: 22};
const SERVICE = {name: 'pool', maxConnections: 440};

describe('connectionShare', () => {
  it('divides the connections of an upstream among its own group', () => {
    const fleet = {isSharedByGroups: () => false};
    expect(connectionShare(fleet, GATEWAYS, SERVICE)).toEqual(20);
  });

  it('divides them among all gateways if all groups send to the upstream', () => {
    const fleet = {isSharedByGroups: () => true};
    expect(connectionShare(fleet, GATEWAYS, SERVICE)).toEqual(6);
  });

  it('leaves each gateway two connections', () => {
    const fleet = {isSharedByGroups: () => true};
    const service = {...SERVICE, maxConnections: 10};
    expect(connectionShare(fleet, GATEWAYS, service)).toEqual(2);
  });
});
