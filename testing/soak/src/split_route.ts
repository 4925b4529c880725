import type {GatewayCluster} from '@sardinestile/hosting_tests';

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
    route.traffic_split = [
      {service: usual.name, weight: 2},
      {service: SPLIT_SERVICE, weight: 1},
    ];
  });
}
