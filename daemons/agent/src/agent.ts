import {OPS_DRAIN_LIMIT_MS, startOpsServer} from '@sardinestile/ops';
import {
  createAddressOpener,
  createInputBoundary,
} from '@sardinestile/connections';
import type {UpstreamAdapter} from '@sardinestile/adapters';
import type {Logger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {createConfigReplica, encodeConfigUpdate} from '@sardinestile/replica';
import {
  startSessionServer,
  type AgentBody,
  type ConfigPush,
  type HeartbeatInit,
  type ReceivedEntryBody,
  type Session,
} from '@sardinestile/session';
import {createConfigSync} from '@sardinestile/spread';
import {createAdmissionController} from './admission_controller.js';
import type {AgentSession} from './attempt.js';
import {startUpstreamMonitor} from './upstream_monitor.js';

/** Options for startAgent. */
export interface AgentOptions {
  instance: string;
  availabilityZone: string;
  host: string;
  /** Port where entries open sessions; 0 picks a free port. */
  port: number;
  /** Port for operators (metrics, health, state); 0 picks a free port. */
  opsPort: number;
  adminKey: string;
  service: string;
  upstream: UpstreamAdapter;
  /**
   * Time for which the start waits for addresses that are not available, in milliseconds;
   * it does not wait if absent.
   */
  addressWaitLimitMs?: number;
  /** Ends the start, which rejects with its reason. */
  startSignal?: AbortSignal;
  logger: Logger;
}

/** A running agent, with the ports it listens on. */
export interface Agent {
  port: number;
  opsPort: number;
  /** Drains the queued and running attempts, then stops. */
  stop(): Promise<void>;
}

/** Starts the agent of one upstream. */
export async function startAgent(options: AgentOptions): Promise<Agent> {
  const {logger, instance, upstream} = options;
  const metrics = createMetricsRegistry({logger});
  const boundary = createInputBoundary({logger, metrics});
  const replica = createConfigReplica();
  const sessions = new Set<Session<AgentBody>>();
  const monitor = startUpstreamMonitor({
    upstream,
    upstreamId: instance,
    logger,
  });
  const admissionController = createAdmissionController({
    service: options.service,
    upstreamId: instance,
    upstream,
    monitor,
    replica,
    logger,
    metrics,
  });
  replica.onVersionIncrease(version => {
    logger.info('config_applied', {version, source: 'peer'});
    admissionController.applyConfig();
    sessions.forEach(session => session.sendHeartbeat());
  });

  const heartbeat = (): HeartbeatInit => ({
    configVersion: replica.version,
    load: {
      ...admissionController.counts(),
      tokenIntervalMs: monitor.tokenIntervalMs,
      draining: admissionController.isDraining,
      healthy: monitor.isHealthy,
    },
  });
  const acceptSession = (session: AgentSession) => {
    sessions.add(session);
    const link = createConfigSync({replica, send: body => session.send(body)});
    session.send({
      case: 'hello',
      value: {
        instance,
        service: options.service,
        availabilityZone: options.availabilityZone,
        configVersion: replica.version,
      },
    });
    session.sendHeartbeat();
    const handlers: MessageHandlers = {
      hello: ({configVersion}) => link.handlePeerVersion(configVersion),
      heartbeat: ({configVersion}) => link.handlePeerVersion(configVersion),
      configPull: pull => link.handlePull(pull),
      configPush: push => link.handlePush(push),
      reserve: reserve => {
        link.handlePeerVersion(reserve.configVersion);
        admissionController.reserve(session, reserve);
      },
      withdraw: ({attemptId}) => admissionController.withdraw(attemptId),
      commit: commit => admissionController.commit(session, commit),
      credit: credit => admissionController.grantCredit(credit),
      cancel: ({attemptId}) => admissionController.cancel(attemptId),
    };
    return {
      onMessage: (body: ReceivedEntryBody) => {
        if (body.case) handlers[body.case](body.value as never);
      },
      onClose: (reason: string) => {
        sessions.delete(session);
        logger.info('session_closed', {peer: 'entry', reason});
        admissionController.closeSession(session);
      },
    };
  };

  const dumpState = () => ({
    role: 'agent',
    instance,
    service: options.service,
    availabilityZone: options.availabilityZone,
    configVersion: replica.version,
    sessions: sessions.size,
    upstream: {
      isHealthy: monitor.isHealthy,
      load: monitor.load,
      tokenIntervalMs: monitor.tokenIntervalMs,
    },
    isDraining: admissionController.isDraining,
    places: admissionController.counts(),
    classes: admissionController.dump(),
  });
  const addresses = createAddressOpener({
    logger,
    limitMs: options.addressWaitLimitMs,
    signal: options.startSignal,
  });
  const ops = await startOpsServer({
    host: options.host,
    port: options.opsPort,
    adminKey: options.adminKey,
    metrics,
    boundary,
    isReady: () => replica.version > 0 && !admissionController.isDraining,
    dumpState,
    addresses,
  });
  // Opened last: a start that ends while it waits drops what it has taken.
  const server = await startSessionServer({
    host: options.host,
    port: options.port,
    boundary,
    accept: acceptSession,
    heartbeat,
    pullConfig: since =>
      encodeConfigUpdate(replica.createUpdateSince(since)) as ConfigPush,
    addresses,
  });
  const address = `${options.host}:${server.port}`;
  const opsAddress = `${options.host}:${ops.port}`;
  logger.info('process_started', {
    role: 'agent',
    instance,
    address,
    opsAddress,
    startMs: Math.round(performance.now()),
    addressWaits: addresses.waits || undefined,
  });

  return {
    port: server.port,
    opsPort: ops.port,
    stop: async () => {
      const openRequests = admissionController.counts().running;
      logger.info('process_stopping', {instance, openRequests});
      const drained = admissionController.drain();
      sessions.forEach(session => session.sendHeartbeat());
      await drained;
      monitor.stop();
      await delay(REFUSAL_TIME_MS);
      await Promise.all([...sessions].map(session => session.end('stopped')));
      await Promise.all([server.close(), ops.drain(OPS_DRAIN_LIMIT_MS)]);
      await upstream.close();
      logger.info('process_stopped', {instance});
    },
  };
}

type MessageHandlers = {
  [K in NonNullable<ReceivedEntryBody['case']>]: (
    value: Extract<ReceivedEntryBody, {case: K}>['value'],
  ) => void;
};

/**
 * Time for which a drained agent still refuses reservations, in milliseconds;
 * entries send some before they learn of the drain.
 */
const REFUSAL_TIME_MS = 100;

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
