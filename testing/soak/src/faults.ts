import type {
  UpstreamBehaviour,
  UpstreamStandIn,
} from '@sardinestile/hosting_stand_ins';
import type {GatewayCluster} from '@sardinestile/hosting_tests';
import type {GatewayProcess} from './gateway_process.js';
import {disturb, pickRandom, RESTART_MS, type Fault} from './soak_context.js';
import {STOP_FAULTS} from './stop_faults.js';
import {versionNameOf} from './split_route.js';
import type {ProxyMode} from './tcp_proxy.js';
import {
  createUsualBehaviour,
  dropLargeBody,
  HARMFUL_BODY_PREFIX,
  prepareUpstream,
} from './usual_upstream.js';

/** Time from the start of an upstream to the end of the one that it replaces, in milliseconds. */
const ROLL_MS = 2_500;

/** Faults by name. Each one injects the fault and returns a description for the log. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  ...STOP_FAULTS,
  kill(soak) {
    const gateway = pickRandom(soak.exposedGateways, soak.random);
    disturb(soak, RESTART_MS, gateway);
    return sendSignal(gateway, 'SIGKILL');
  },
  killAll(soak) {
    disturb(soak, RESTART_MS);
    soak.gateways.forEach(gateway => gateway.signal('SIGKILL'));
    return 'SIGKILL to all';
  },
  freeze(soak) {
    const gateway = pickRandom(soak.exposedGateways, soak.random);
    const durationMs = 500 + soak.random() * 4_000;
    disturb(soak, durationMs, gateway);
    soak.runLater(durationMs, () => gateway.signal('SIGCONT'));
    return sendSignal(gateway, 'SIGSTOP');
  },
  clock(soak) {
    const {exposedGateways, random, runLater} = soak;
    const stepped = exposedGateways.filter(() => random() < 0.4);
    const durationMs = 1_000 + random() * 3_000;
    for (const gateway of stepped) {
      disturb(soak, durationMs, gateway);
      gateway.signal('SIGUSR2');
    }
    runLater(durationMs, () =>
      stepped.forEach(gateway => gateway.signal('SIGUSR2')),
    );
    const names = stepped.map(({name}) => name).join(', ');
    return `clock step of ${names || 'no gateway'}`;
  },
  store(soak) {
    const {gateways, random, runLater} = soak;
    const modes: ProxyMode[] = [
      'delay',
      'cutAnswers',
      'silenceOpen',
      'resetOpen',
      'refuse',
    ];
    const mode = pickRandom(modes, random);
    const gateway = pickRandom(soak.exposedGateways, random);
    const proxy = soak.storeProxies[gateways.indexOf(gateway)];
    proxy.setMode(mode);
    const durationMs = 500 + random() * 3_000;
    disturb(soak, durationMs, gateway);
    runLater(durationMs, () => proxy.setMode('pass'));
    return `store of ${gateway.name}: ${mode}`;
  },
  history({cluster}) {
    cluster.store.discardHistory();
    return 'change history of the store dropped';
  },
  harmful(soak) {
    const {harmfulParts, sentHarmfulParts, random, runLater} = soak;
    const part = `bad${harmfulParts.length}`;
    harmfulParts.push(part);
    sentHarmfulParts.add(part);
    runLater(4_000 + random() * 6_000, () => sentHarmfulParts.delete(part));
    return `requests with the harmful part ${part}`;
  },
  harmfulRequest(soak) {
    const {harmfulBodies, sentHarmfulBodies, random, runLater} = soak;
    const body = `${HARMFUL_BODY_PREFIX} ${harmfulBodies.length}`;
    harmfulBodies.push(body);
    sentHarmfulBodies.add(body);
    runLater(4_000 + random() * 6_000, () => sentHarmfulBodies.delete(body));
    return `requests with the body "${body}"`;
  },
  roll(soak) {
    const {cluster, random, upstreamRandom, runLater} = soak;
    const old = pickRunningUpstream(cluster, random);
    if (!old) return 'no upstream runs';
    // Some rolls go on, others begin with another version beside the last ones.
    if (random() < 0.4) soak.newestVersion++;
    const version = versionNameOf(old.service, soak.newestVersion);
    const id = `u${cluster.upstreams.length + 1}`;
    void cluster
      .addUpstream(id, old.service, version)
      .then(next => prepareUpstream(cluster, next, upstreamRandom));
    old.leftAtMs = performance.now();
    cluster.register(old, {state: 'draining'});
    runLater(ROLL_MS, () => cluster.store.remove('servers', old.id));
    return `${id} of ${version} replaces ${old.id} of ${old.softwareVersion}`;
  },
  limit({cluster, limits, random, runLater}) {
    const upstream = pickRunningUpstream(cluster, random);
    if (!upstream) return 'no upstream runs';
    const requestsPerS = pickRandom([1, 2, 8], random);
    const fromMs = performance.now();
    const untilMs = fromMs + 4_000 + random() * 6_000;
    // A new limit replaces the one that the upstream states.
    for (const earlier of limits) {
      if (earlier.upstreamId !== upstream.id) continue;
      earlier.untilMs = Math.min(earlier.untilMs, fromMs);
    }
    limits.push({upstreamId: upstream.id, requestsPerS, fromMs, untilMs});
    const headers = {'server-limit': String(requestsPerS)};
    upstream.extraHeaders = headers;
    runLater(untilMs - fromMs, () => {
      if (upstream.extraHeaders === headers) upstream.extraHeaders = {};
    });
    return `${upstream.id} states a limit of ${requestsPerS} a second`;
  },
  upstream({cluster, random, upstreamRandom, runLater}) {
    const upstream = pickRunningUpstream(cluster, random);
    if (!upstream) return 'no upstream runs';
    const behaviours: UpstreamBehaviour[] = [
      {kind: 'reset'},
      {kind: 'refuse'},
      {kind: 'silent'},
      {kind: 'truncate'},
      {kind: 'crossed'},
      {kind: 'resetUnframed'},
      {kind: 'misdirect'},
    ];
    const behaviour = pickRandom(behaviours, random);
    const previous = upstream.chooseBehaviour;
    upstream.chooseBehaviour = request => {
      dropLargeBody(request);
      return upstreamRandom() < 0.5 ? behaviour : previous(request);
    };
    runLater(500 + random() * 2_000, () => {
      upstream.chooseBehaviour = createUsualBehaviour(upstreamRandom);
    });
    return `${upstream.id}: ${behaviour.kind}`;
  },
  drain({cluster, random, runLater}) {
    const upstream = pickRunningUpstream(cluster, random);
    if (!upstream) return 'no upstream runs';
    cluster.register(upstream, {state: 'draining'});
    runLater(1_500, () => {
      const isRunning =
        upstream.crashedAtMs === undefined && upstream.leftAtMs === Infinity;
      if (isRunning) cluster.register(upstream);
    });
    return `${upstream.id} is draining`;
  },
  revoke({cluster, keys, revokedKeys}) {
    const key = keys.shift()!;
    const next = `key-${revokedKeys.size + 2}`;
    keys.push(next);
    cluster.configure(config => {
      config.tenants[0].api_keys = [...keys];
    });
    revokedKeys.set(key, performance.now());
    return `${key} is revoked`;
  },
  configure({cluster}) {
    return `version ${cluster.configure()}`;
  },
};

/** Returns a random upstream that has not crashed; undefined if there is none. */
function pickRunningUpstream(
  {upstreams}: GatewayCluster,
  random: () => number,
): UpstreamStandIn | undefined {
  const running = upstreams.filter(
    ({crashedAtMs, leftAtMs}) =>
      crashedAtMs === undefined && leftAtMs === Infinity,
  );
  return running.length > 0 ? pickRandom(running, random) : undefined;
}

function sendSignal(gateway: GatewayProcess, name: NodeJS.Signals): string {
  gateway.signal(name);
  return `${name} to ${gateway.name}`;
}
