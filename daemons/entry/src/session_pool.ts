import type {InputBoundary} from '@sardinestile/connections';
import type {Logger} from '@sardinestile/logger';
import {
  createCircuitBreaker,
  type CircuitBreaker,
  type UpstreamView,
} from '@sardinestile/placement';
import type {Instance} from '@sardinestile/ports';
import type {ConfigReplica} from '@sardinestile/replica';
import {
  openSession,
  type EntryBody,
  type LoadReport,
  type ReceivedAgentBody,
  type Session,
} from '@sardinestile/session';
import {createConfigSync} from '@sardinestile/spread';

/** Bounds of the exponential backoff before a session is reopened. */
const MIN_RECONNECT_DELAY_MS = 100;
const MAX_RECONNECT_DELAY_MS = 5_000;

/** Messages from an agent about one attempt. */
export type AttemptMessage = Extract<
  ReceivedAgentBody,
  {case: 'offer' | 'refuse' | 'head' | 'chunk' | 'finished' | 'failed'}
>;

/** Receives the messages about one attempt, and the loss of its session. */
export interface AttemptListener {
  onMessage(body: AttemptMessage): void;
  onSessionLost(upstreamId: string): void;
}

/** Options for createSessionPool. */
export interface SessionPoolOptions {
  instance: string;
  replica: ConfigReplica;
  logger: Logger;
  /** Reports messages that cannot be handled. */
  boundary: InputBoundary;
}

/** The sessions of an entry to the agents of its subset. */
export interface SessionPool {
  /**
   * Opens sessions to these agents and closes the sessions to others. An agent
   * that left the set keeps its session while it has attempts.
   */
  setMembers(members: readonly Instance[]): void;
  /** Returns the last known state of a service's upstreams. */
  viewsOf(service: string): UpstreamView[];
  send(upstreamId: string, body: EntryBody): void;
  /**
   * Routes the messages about an attempt to a listener until
   * `removeAttemptListener` is called.
   */
  addAttemptListener(
    attemptId: string,
    upstreamId: string,
    listener: AttemptListener,
  ): void;
  removeAttemptListener(attemptId: string): void;
  /** Reports a completed request to the upstream's circuit breaker. */
  recordSuccess(upstreamId: string): void;
  /** Reports a failed attempt to the upstream's circuit breaker. */
  recordFailure(upstreamId: string): void;
  /**
   * Sends every agent the current configuration version without waiting for the
   * next heartbeat.
   */
  announceVersion(): void;
  dump(): SessionDump[];
  close(): void;
}

/** One session in a state dump. */
export interface SessionDump {
  upstream: string;
  service: string;
  isOpen: boolean;
  load?: {running: number; waiting: number; capacity: number};
}

interface Member {
  instance: Instance;
  session?: Session<EntryBody>;
  /** Whether the agent has sent its hello on this session. */
  isConnected: boolean;
  load?: LoadReport;
  /** Attempts sent since the last heartbeat, which `load` doesn't count yet. */
  unreportedAttempts: number;
  circuit: CircuitBreaker;
  reconnectDelayMs: number;
  reconnectTimer?: NodeJS.Timeout;
}

interface AttemptRoute {
  upstreamId: string;
  listener: AttemptListener;
}

/** Creates a pool without sessions. */
export function createSessionPool(options: SessionPoolOptions): SessionPool {
  const {replica, logger} = options;
  const members = new Map<string, Member>();
  const routes = new Map<string, AttemptRoute>();

  const connect = (member: Member) => {
    const {id, address} = member.instance;
    const session: Session<EntryBody> = openSession({
      address,
      boundary: options.boundary,
      handlers: {
        onMessage: body => handleMessage(member, session, body),
        onClose: reason => handleClose(member, session, reason),
        heartbeat: () => ({configVersion: replica.version}),
      },
    });
    member.session = session;
    const configVersion = replica.version;
    const value = {instance: options.instance, configVersion};
    session.send({case: 'hello', value});
    logger.info('session_opened', {peer: id});
  };
  const handleMessage = (
    member: Member,
    session: Session<EntryBody>,
    body: ReceivedAgentBody,
  ) => {
    if (body.case) messageHandlers[body.case](member, session, body as never);
  };
  const createLink = (session: Session<EntryBody>) =>
    createConfigSync({replica, send: body => session.send(body)});
  const routeAttemptMessage = (
    _member: Member,
    _session: Session<EntryBody>,
    body: AttemptMessage,
  ) => routes.get(body.value.attemptId)?.listener.onMessage(body);
  const messageHandlers: MessageHandlers = {
    hello: (member, session, {value}) => {
      member.isConnected = true;
      member.reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
      createLink(session).handlePeerVersion(value.configVersion);
    },
    heartbeat: (member, session, {value}) => {
      member.load = value.load ?? member.load;
      member.unreportedAttempts = 0;
      createLink(session).handlePeerVersion(value.configVersion);
    },
    configPull: (_member, session, {value}) =>
      createLink(session).handlePull(value),
    configPush: (_member, session, {value}) =>
      createLink(session).handlePush(value),
    offer: routeAttemptMessage,
    refuse: routeAttemptMessage,
    head: routeAttemptMessage,
    chunk: routeAttemptMessage,
    finished: routeAttemptMessage,
    failed: routeAttemptMessage,
  };
  const handleClose = (
    member: Member,
    session: Session<EntryBody>,
    reason: string,
  ) => {
    if (member.session !== session) return;
    const {id} = member.instance;
    member.session = undefined;
    member.isConnected = false;
    member.load = undefined;
    logger.info('session_closed', {peer: id, reason});
    notifySessionLost(id);
    if (members.get(id) !== member) return;
    const delayMs = member.reconnectDelayMs * (0.5 + Math.random());
    member.reconnectDelayMs = Math.min(
      MAX_RECONNECT_DELAY_MS,
      2 * member.reconnectDelayMs,
    );
    member.reconnectTimer = setTimeout(() => connect(member), delayMs);
  };
  const notifySessionLost = (upstreamId: string) => {
    for (const route of [...routes.values()]) {
      if (route.upstreamId !== upstreamId) continue;
      route.listener.onSessionLost(upstreamId);
    }
  };
  const removeMember = (member: Member) => {
    members.delete(member.instance.id);
    clearTimeout(member.reconnectTimer);
    member.session?.close('not in the subset');
  };
  const addMember = (instance: Instance) => {
    const member: Member = {
      instance,
      isConnected: false,
      unreportedAttempts: 0,
      circuit: createCircuitBreaker(),
      reconnectDelayMs: MIN_RECONNECT_DELAY_MS,
    };
    members.set(instance.id, member);
    connect(member);
  };
  const addOrUpdateMember = (instance: Instance) => {
    const member = members.get(instance.id);
    if (!member) return addMember(instance);
    const hasNewAddress = member.instance.address !== instance.address;
    member.instance = instance;
    if (!hasNewAddress) return;
    removeMember(member);
    addMember(instance);
  };
  const hasAttempts = (upstreamId: string) =>
    [...routes.values()].some(route => route.upstreamId === upstreamId);

  return {
    setMembers(wanted) {
      const wantedIds = new Set(wanted.map(instance => instance.id));
      for (const member of [...members.values()]) {
        const {id} = member.instance;
        if (wantedIds.has(id)) continue;
        if (hasAttempts(id)) member.instance.isLeaving = true;
        else removeMember(member);
      }
      wanted.forEach(addOrUpdateMember);
    },
    viewsOf: service =>
      [...members.values()]
        .filter(member => member.instance.service === service)
        .map(member => toView(member, replica)),
    send: (upstreamId, body) => members.get(upstreamId)?.session?.send(body),
    addAttemptListener(attemptId, upstreamId, listener) {
      routes.set(attemptId, {upstreamId, listener});
      const member = members.get(upstreamId);
      if (!member) return;
      member.unreportedAttempts++;
      member.circuit.recordSent(performance.now());
    },
    removeAttemptListener: attemptId => routes.delete(attemptId),
    recordSuccess: upstreamId =>
      members.get(upstreamId)?.circuit.recordSuccess(),
    recordFailure: upstreamId =>
      members.get(upstreamId)?.circuit.recordFailure(performance.now()),
    announceVersion: () =>
      members.forEach(member => member.session?.sendHeartbeat()),
    dump: () => [...members.values()].map(dumpMember),
    close: () => [...members.values()].forEach(removeMember),
  };
}

type MessageHandlers = {
  [K in NonNullable<ReceivedAgentBody['case']>]: (
    member: Member,
    session: Session<EntryBody>,
    body: Extract<ReceivedAgentBody, {case: K}>,
  ) => void;
};

function toView(member: Member, replica: ConfigReplica): UpstreamView {
  const {instance, load} = member;
  return {
    id: instance.id,
    availabilityZone: instance.availabilityZone,
    isConnected: member.isConnected,
    isHealthy: load?.healthy ?? false,
    isDraining:
      instance.isLeaving ||
      (load?.draining ?? false) ||
      replica.isDraining(instance.id),
    isCircuitClosed: member.circuit.allowsRequest(performance.now()),
    running: load?.running ?? 0,
    waiting: load?.waiting ?? 0,
    capacity: load?.capacity ?? 1,
    unreportedRequests: member.unreportedAttempts,
    tokenIntervalMs: load?.tokenIntervalMs ?? 0,
  };
}

function dumpMember(member: Member): SessionDump {
  const {load} = member;
  return {
    upstream: member.instance.id,
    service: member.instance.service ?? '',
    isOpen: member.isConnected,
    load: load && {
      running: load.running,
      waiting: load.waiting,
      capacity: load.capacity,
    },
  };
}
