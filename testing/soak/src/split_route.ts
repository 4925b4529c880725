import type {GatewayCluster} from '@sardinestile/hosting_tests';
import {pickRandom, type Fault} from './soak_context.js';

/** Service that gets a part of the resumable streams. */
const SPLIT_SERVICE = 'pool-b';

/** Upstreams of that service, so that its streams can go on when one of them is lost. */
const SPLIT_UPSTREAMS = 2;

/** Returns the name of a software version; it tells the services apart in the events of streams. */
export function versionNameOf(service: string, number: number): string {
  return `${service === SPLIT_SERVICE ? 'w' : 'v'}${number}`;
}

/** Splits the route of resumable streams between the usual service and another one. */
export async function splitResumableRoute(
  cluster: GatewayCluster,
): Promise<void> {
  for (let i = 1; i <= SPLIT_UPSTREAMS; i++) {
    const version = versionNameOf(SPLIT_SERVICE, 1);
    await cluster.addUpstream(`b${i}`, SPLIT_SERVICE, version);
  }
  cluster.configure(config => {
    const [usual] = config.services;
    config.services.push({...usual, name: SPLIT_SERVICE});
    const route = config.routes.find(({name}) => name === 'resumable')!;
    delete route.service;
  });
  setWeights(cluster, [2, 1]);
}

function setWeights(
  cluster: GatewayCluster,
  [usual, other]: readonly [usual: number, other: number],
): void {
  cluster.configure(config => {
    const route = config.routes.find(({name}) => name === 'resumable')!;
    route.traffic_split = [
      {service: config.services[0].name, weight: usual},
      {service: SPLIT_SERVICE, weight: other},
    ];
  });
}

/** Weights of the services; a change of them moves a part of the streams that begin. */
const WEIGHTS = [
  [2, 1],
  [3, 2],
  [1, 1],
] as const;

/** Changes of the split of the route, which decide the service of streams that are resumed. */
export const SPLIT_FAULTS: Readonly<Record<string, Fault>> = {
  changeSplit({cluster, random}) {
    const weights = pickRandom(WEIGHTS, random);
    setWeights(cluster, weights);
    return `the resumable route is split ${weights.join(' to ')}`;
  },
};
