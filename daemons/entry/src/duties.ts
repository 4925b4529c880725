import {
  startScalingDuty,
  startUsageDuty,
  type Duty,
} from '@sardinestile/duties';
import type {Logger} from '@sardinestile/logger';
import type {ConfigReplica} from '@sardinestile/replica';
import type {Service} from '@sardinestile/service_text';
import {createSystemClock} from '@sardinestile/types';
import type {ConfigFollower} from './config_follower.js';
import type {EntryPlatform} from './entry.js';
import type {SessionPool} from './session_pool.js';

/** Options for startDuties. */
export interface DutiesOptions {
  instance: string;
  replica: ConfigReplica;
  pool: SessionPool;
  follower: ConfigFollower;
  platform: EntryPlatform;
  logger: Logger;
}

interface RunningScalingDuty {
  /** The service definition that the duty was started with, as JSON. */
  serviceJson: string;
  duty: Duty;
}

/**
 * Starts the usage duty and a scaling duty for each service with upstreams, and
 * starts and stops scaling duties when the service text changes. Each duty runs
 * on this entry only while it holds the duty's lease.
 */
export function startDuties(options: DutiesOptions): Duty {
  const {replica, platform, instance, logger} = options;
  const clock = createSystemClock();
  const {table} = platform;
  const usageDuty = startUsageDuty({
    instance,
    table,
    usageReceiver: platform.usageReceiver,
    clock,
    logger,
  });
  const scalingDuties = new Map<string, RunningScalingDuty>();

  const startScaling = (service: Service) =>
    startScalingDuty({
      instance,
      service,
      table,
      upstreamScaler: platform.upstreamScaler,
      clock,
      logger,
      sampleDemand: () => sampleDemand(options, service),
    });
  const stopScaling = (name: string) => {
    scalingDuties.get(name)?.duty.stop();
    scalingDuties.delete(name);
  };
  /**
   * Restarts only the duties of changed services, as it takes time to acquire a
   * lease again.
   */
  const updateScalingDuties = () => {
    const services = new Map(
      (replica.serviceText?.services ?? [])
        .filter(service => service.upstreams.length > 0)
        .map(service => [service.name, service]),
    );
    for (const [name, {serviceJson}] of [...scalingDuties]) {
      if (serviceJson !== JSON.stringify(services.get(name))) stopScaling(name);
    }
    for (const [name, service] of services) {
      if (scalingDuties.has(name)) continue;
      const serviceJson = JSON.stringify(service);
      scalingDuties.set(name, {serviceJson, duty: startScaling(service)});
    }
  };
  let appliedText = replica.text;
  updateScalingDuties();
  const unsubscribe = replica.onVersionIncrease(() => {
    if (replica.text === appliedText) return;
    appliedText = replica.text;
    updateScalingDuties();
  });
  return {
    stop() {
      unsubscribe();
      usageDuty.stop();
      scalingDuties.forEach(({duty}) => duty.stop());
    },
  };
}

/**
 * Estimates the demand for a service from the agents that this entry is
 * connected to. If these are a subset of the listed agents, their requests are
 * scaled up in proportion.
 */
function sampleDemand({pool, follower}: DutiesOptions, service: Service) {
  const views = pool.viewsOf(service.name);
  const listedInstances = follower.instances.filter(
    member => member.service === service.name,
  );
  const scale = views.length === 0 ? 1 : listedInstances.length / views.length;
  const knownRequests = views.reduce(
    (sum, view) => sum + view.running + view.waiting,
    0,
  );
  return {
    demandPlaces: Math.max(1, scale) * knownRequests,
    zones: service.upstreams.map(({availabilityZone}) => {
      const inZone = listedInstances.filter(
        instance => instance.availabilityZone === availabilityZone,
      );
      const connected = views.filter(
        view => view.availabilityZone === availabilityZone && view.isConnected,
      );
      return {
        availabilityZone,
        servingUpstreams: inZone.length,
        isLost: inZone.length > 0 && connected.length === 0,
      };
    }),
  };
}
