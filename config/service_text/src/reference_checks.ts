import type {ServiceText} from './service_text_schema.js';

/** A finding whose line and column are not yet determined. */
export interface UnlocatedFinding {
  path: Array<string | number>;
  message: string;
}

type ReferenceCheck = (text: ServiceText) => UnlocatedFinding[];

/**
 * Checks that involve several values of the text: unique names, references to
 * existing names, dependency cycles and sums of minimum shares.
 */
export const REFERENCE_CHECKS: Readonly<Record<string, ReferenceCheck>> = {
  checkUniqueZones: text =>
    findDuplicateNames('availabilityZones', text.availabilityZones),
  checkUniqueServices: text => findDuplicateNames('services', text.services),
  checkUniqueClasses: text =>
    findDuplicateNames('requestClasses', text.requestClasses),
  checkUniqueOrganisations: text =>
    findDuplicateNames('organisations', text.organisations),
  checkServiceZones,
  checkDependencies,
  checkDependencyCycles,
  checkClassServices,
  checkMinimumShares,
  checkUniqueModels,
  checkRouteClasses,
  checkUniqueRoutes,
};

interface Named {
  name: string;
}

function collectNames(items: readonly Named[]): Set<string> {
  return new Set(items.map(item => item.name));
}

function findDuplicateNames(listName: string, items: readonly Named[]) {
  const seenNames = new Set<string>();
  const findings: UnlocatedFinding[] = [];
  items.forEach((item, index) => {
    if (seenNames.has(item.name)) {
      findings.push({
        path: [listName, index, 'name'],
        message: `"${item.name}" is already in use`,
      });
    }
    seenNames.add(item.name);
  });
  return findings;
}

function checkServiceZones(text: ServiceText): UnlocatedFinding[] {
  const zones = collectNames(text.availabilityZones);
  return text.services.flatMap((service, index) =>
    service.upstreams.flatMap((zoneLimits, limitsIndex) => {
      const path = ['services', index, 'upstreams', limitsIndex];
      const findings: UnlocatedFinding[] = [];
      if (!zones.has(zoneLimits.availabilityZone)) {
        const message = `no availability zone "${zoneLimits.availabilityZone}"`;
        findings.push({path: [...path, 'availabilityZone'], message});
      }
      if (zoneLimits.min > zoneLimits.max) {
        findings.push({path: [...path, 'min'], message: 'min is over max'});
      }
      return findings;
    }),
  );
}

function checkDependencies(text: ServiceText): UnlocatedFinding[] {
  const services = collectNames(text.services);
  return text.services.flatMap((service, index) =>
    service.dependsOn.flatMap((name, nameIndex) =>
      services.has(name)
        ? []
        : [
            {
              path: ['services', index, 'dependsOn', nameIndex],
              message: `no service "${name}"`,
            },
          ],
    ),
  );
}

function checkDependencyCycles(text: ServiceText): UnlocatedFinding[] {
  const dependenciesByName = new Map(
    text.services.map(service => [service.name, service.dependsOn]),
  );
  const dependsOnService = (
    from: string,
    to: string,
    visited: Set<string>,
  ): boolean =>
    (dependenciesByName.get(from) ?? []).some(next => {
      if (next === to) return true;
      if (visited.has(next)) return false;
      visited.add(next);
      return dependsOnService(next, to, visited);
    });
  return text.services.flatMap((service, index) =>
    dependsOnService(service.name, service.name, new Set())
      ? [
          {
            path: ['services', index, 'dependsOn'],
            message: `"${service.name}" depends on itself`,
          },
        ]
      : [],
  );
}

function checkClassServices(text: ServiceText): UnlocatedFinding[] {
  const services = collectNames(text.services);
  return text.requestClasses.flatMap((requestClass, index) =>
    services.has(requestClass.service)
      ? []
      : [
          {
            path: ['requestClasses', index, 'service'],
            message: `no service "${requestClass.service}"`,
          },
        ],
  );
}

function checkMinimumShares(text: ServiceText): UnlocatedFinding[] {
  const shareSumByService = new Map<string, number>();
  const findings: UnlocatedFinding[] = [];
  text.requestClasses.forEach((requestClass, index) => {
    const sum =
      (shareSumByService.get(requestClass.service) ?? 0) +
      requestClass.minShare;
    shareSumByService.set(requestClass.service, sum);
    if (sum <= 1) return;
    findings.push({
      path: ['requestClasses', index, 'minShare'],
      message: `minimum shares of "${requestClass.service}" sum to over 1`,
    });
  });
  return findings;
}

function checkUniqueModels(text: ServiceText): UnlocatedFinding[] {
  const models = text.services.flatMap((service, index) =>
    service.models.map((name, modelIndex) => ({
      name,
      path: ['services', index, 'models', modelIndex],
    })),
  );
  const seenNames = new Set<string>();
  return models.flatMap(({name, path}) => {
    if (!seenNames.has(name)) {
      seenNames.add(name);
      return [];
    }
    return [{path, message: `model "${name}" already has a service`}];
  });
}

function checkRouteClasses(text: ServiceText): UnlocatedFinding[] {
  const classes = collectNames(text.requestClasses);
  return text.routes.flatMap((route, index) =>
    classes.has(route.requestClass)
      ? []
      : [
          {
            path: ['routes', index, 'requestClass'],
            message: `no request class "${route.requestClass}"`,
          },
        ],
  );
}

function checkUniqueRoutes(text: ServiceText): UnlocatedFinding[] {
  const seenRoutes = new Set<string>();
  return text.routes.flatMap((route, index) =>
    route.methods.flatMap(method => {
      const methodAndPath = `${method} ${route.path}`;
      if (!seenRoutes.has(methodAndPath)) {
        seenRoutes.add(methodAndPath);
        return [];
      }
      return [
        {
          path: ['routes', index, 'path'],
          message: `${methodAndPath} stands twice`,
        },
      ];
    }),
  );
}
