import type {RequestClass, ServiceText} from '@sardinestile/service_text';
import type {UnlocatedWarning} from './check_finding.js';

/**
 * Checks for entries of a service text that no request can ever match. Each
 * takes a valid text.
 */
export const TEXT_MATCH_CHECKS: Readonly<
  Record<string, (text: ServiceText) => UnlocatedWarning[]>
> = {
  findImpossiblePaths,
  findUnusedClasses,
  findShadowedDefaults,
  findUnroutedServices,
};

/** Request targets of HTTP contain no white space, and a path ends before `?`. */
const IMPOSSIBLE_PATH_PATTERN = /[\s?]/;

function findImpossiblePaths({routes}: ServiceText): UnlocatedWarning[] {
  return routes.flatMap(({path}, index) =>
    IMPOSSIBLE_PATH_PATTERN.test(path)
      ? [
          {
            rule: 'route-never-matches',
            path: ['routes', index, 'path'],
            message: `no request path begins with "${path}": it has a "?" or white space`,
          },
        ]
      : [],
  );
}

/**
 * A class receives requests through a route, or through the models of its
 * service, for which callers choose the class by name.
 */
function findUnusedClasses(text: ServiceText): UnlocatedWarning[] {
  const reachable = createClassFilter(text);
  return text.requestClasses.flatMap((requestClass, index) =>
    reachable(requestClass)
      ? []
      : [
          {
            rule: 'class-never-matches',
            path: ['requestClasses', index, 'name'],
            message: `no route refers to "${requestClass.name}" and its service "${requestClass.service}" has no models`,
          },
        ],
  );
}

function findShadowedDefaults({
  requestClasses,
}: ServiceText): UnlocatedWarning[] {
  const defaultByService = new Map<string, string>();
  return requestClasses.flatMap(({name, service, isDefault}, index) => {
    if (!isDefault) return [];
    const first = defaultByService.get(service);
    if (first === undefined) {
      defaultByService.set(service, name);
      return [];
    }
    return [
      {
        rule: 'default-never-applies',
        path: ['requestClasses', index, 'isDefault'],
        message: `"${first}" is already the default class of "${service}"`,
      },
    ];
  });
}

function findUnroutedServices(text: ServiceText): UnlocatedWarning[] {
  const reachable = createClassFilter(text);
  const reachableServices = new Set(
    text.requestClasses.filter(reachable).map(({service}) => service),
  );
  return text.services.flatMap(({name}, index) =>
    reachableServices.has(name)
      ? []
      : [
          {
            rule: 'service-never-matches',
            path: ['services', index, 'name'],
            message: `no route leads to "${name}", and no request class of it has models`,
          },
        ],
  );
}

function createClassFilter(text: ServiceText) {
  const routedClasses = new Set(
    text.routes
      .filter(({path}) => !IMPOSSIBLE_PATH_PATTERN.test(path))
      .map(({requestClass}) => requestClass),
  );
  const servicesWithModels = new Set(
    text.services.filter(s => s.models.length > 0).map(({name}) => name),
  );
  return ({name, service}: RequestClass) =>
    routedClasses.has(name) || servicesWithModels.has(service);
}
