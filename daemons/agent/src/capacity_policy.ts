import type {ClassPolicy} from '@sardinestile/scheduler';
import type {RequestClass, ServiceText} from '@sardinestile/service_text';

/**
 * Extra slots for classes below their minimum share, as a fraction of the
 * capacity, by kind of upstream.
 */
const OVERCOMMIT_SHARE = {engine: 1, plain: 0} as const;

/** Capacity until the first configuration arrives. */
const INITIAL_CAPACITY = 1;

/** The scheduling policy that the service text defines for one service. */
export interface CapacityPolicy {
  classes: ClassPolicy[];
  capacity: number;
  overcommitSlots: number;
}

/**
 * Returns the policy of a service; a minimal one until its definition is known.
 */
export function capacityPolicyOf(
  serviceText: ServiceText | undefined,
  serviceName: string,
): CapacityPolicy {
  const service = serviceText?.services.find(item => item.name === serviceName);
  const capacity = service?.maxRunning ?? INITIAL_CAPACITY;
  return {
    classes: (serviceText?.requestClasses ?? [])
      .filter(requestClass => requestClass.service === serviceName)
      .map(toClassPolicy),
    capacity,
    overcommitSlots: capacity * OVERCOMMIT_SHARE[service?.kind ?? 'plain'],
  };
}

function toClassPolicy(requestClass: RequestClass): ClassPolicy {
  const {name, tier, minShare, targets} = requestClass;
  const {firstTokenMs, answerMs} = targets;
  return {name, tier, minShare, firstTokenMs, answerMs};
}
