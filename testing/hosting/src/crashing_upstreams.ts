import type {
  ReceivedRequest,
  UpstreamBehaviour,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {GatewayCluster} from './gateway_cluster.js';

/** Times after a crash at which the registration expires and a new upstream starts. */
const REGISTRATION_EXPIRY_MS = 1_500;
const RESTART_MS = 1_000;

/** Upstreams that are replaced after each crash. */
export interface CrashingUpstreams {
  /** All that were started, those that crashed included. */
  readonly all: readonly UpstreamStandIn[];
  /** Returns the times of the crashes, by performance.now(), in order. */
  crashTimesMs(): number[];
  /** Returns the requests that arrived at any of them. */
  received(): ReceivedRequest[];
  /** Closes the cluster after the last replacement. */
  close(): Promise<void>;
}

/** Starts upstreams that choose their behaviour by the request and are replaced after a crash. */
export async function startCrashingUpstreams(
  cluster: GatewayCluster,
  count: number,
  chooseBehaviour: (request: ReceivedRequest) => UpstreamBehaviour,
): Promise<CrashingUpstreams> {
  const all: UpstreamStandIn[] = [];
  const start = async () => {
    const upstream = await cluster.addUpstream(`u${all.length + 1}`);
    all.push(upstream);
    upstream.chooseBehaviour = chooseBehaviour;
    upstream.onCrash = () => {
      setTimeout(
        () => cluster.store.remove('servers', upstream.id),
        REGISTRATION_EXPIRY_MS,
      );
      setTimeout(() => void start(), RESTART_MS);
    };
  };
  for (let i = 0; i < count; i++) await start();
  return {
    all,
    crashTimesMs: () =>
      all.flatMap(({crashedAtMs}) => crashedAtMs ?? []).sort((a, b) => a - b),
    received: () => all.flatMap(({received}) => received),
    async close() {
      for (const upstream of all) upstream.onCrash = () => undefined;
      await new Promise(resolve => setTimeout(resolve, RESTART_MS));
      await cluster.close();
    },
  };
}
