import type {ServiceText} from '@sardinestile/service_text';
import type {UnlocatedWarning} from './check_finding.js';

/**
 * Checks for limits of a service text that contradict each other. Each takes a
 * valid text; minimum shares over the whole and `min` over `max` are errors.
 */
export const TEXT_LIMIT_CHECKS: Readonly<
  Record<string, (text: ServiceText) => UnlocatedWarning[]>
> = {
  findTargetsOverAnswer,
  findLimitsBelowShares,
  findServicesWithoutUpstreams,
};

/** Targets for a part of the response. */
const PART_TARGETS = ['firstTokenMs', 'tokenIntervalMs'] as const;

function findTargetsOverAnswer({
  requestClasses,
}: ServiceText): UnlocatedWarning[] {
  return requestClasses.flatMap(({targets}, index) =>
    PART_TARGETS.flatMap(name => {
      const targetMs = targets[name];
      const {answerMs} = targets;
      if (targetMs === undefined || answerMs === undefined) return [];
      if (targetMs <= answerMs) return [];
      return [
        {
          rule: 'target-over-answer',
          path: ['requestClasses', index, 'targets', name],
          message: `${name} (${targetMs} ms) is over answerMs (${answerMs} ms)`,
        },
      ];
    }),
  );
}

/**
 * A share is an average, so less than one slot is valid. The organisations can
 * use the slots that a class is guaranteed only if their limits sum to as many.
 * Requests on open routes have no organisation and thus no limit.
 */
function findLimitsBelowShares(text: ServiceText): UnlocatedWarning[] {
  const limits = text.organisations.map(({maxRunning}) => maxRunning);
  const limitSum = limits.reduce<number>(
    (sum, limit) => sum + (limit ?? Infinity),
    0,
  );
  const openClasses = new Set(
    text.routes
      .filter(({access}) => access === 'open')
      .map(({requestClass}) => requestClass),
  );
  const slotsByService = new Map(
    text.services.map(({name, maxRunning, upstreams}) => [
      name,
      maxRunning * upstreams.reduce((sum, {min}) => sum + min, 0),
    ]),
  );
  return text.requestClasses.flatMap(({name, service, minShare}, index) => {
    const guaranteedSlots = minShare * (slotsByService.get(service) ?? 0);
    if (openClasses.has(name) || limitSum >= guaranteedSlots) return [];
    return [
      {
        rule: 'limits-below-share',
        path: ['requestClasses', index, 'minShare'],
        message: `the share guarantees ${guaranteedSlots} slots, but maxRunning of all organisations sums to ${limitSum}`,
      },
    ];
  });
}

function findServicesWithoutUpstreams({
  services,
}: ServiceText): UnlocatedWarning[] {
  return services.flatMap(({name, upstreams}, index) =>
    upstreams.length > 0 && upstreams.every(({max}) => max === 0)
      ? [
          {
            rule: 'service-without-upstreams',
            path: ['services', index, 'upstreams'],
            message: `max is 0 in all availability zones of "${name}"`,
          },
        ]
      : [],
  );
}
