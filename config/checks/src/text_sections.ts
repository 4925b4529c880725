import type {ServiceText} from '@sardinestile/service_text';
import type {ComparedSection} from './compare_versions.js';

const NEW_REQUESTS_ONLY = 'affects new requests only; others continue';
const NOT_RUNNING = 'affects new and waiting requests; running ones continue';
const SCALING_ONLY =
  'affects the number of upstreams; requests are not ended by the change';

function byName<T extends {name: string}>(items: readonly T[]) {
  return items.map(item => ({id: item.name, fields: {...item}}));
}

/** The sections of a service text, with the effects of their changes. */
export const TEXT_SECTIONS: ReadonlyArray<ComparedSection<ServiceText>> = [
  {
    section: 'availabilityZones',
    listEntries: text => byName(text.availabilityZones),
    addedEffect: 'no effect on requests',
    removedEffect: SCALING_ONLY,
    changedEffect: SCALING_ONLY,
  },
  {
    section: 'services',
    listEntries: text => byName(text.services),
    addedEffect: 'affects new requests only',
    removedEffect:
      'refuses new requests; those under way continue, with one slot on each upstream',
    fieldEffects: {
      models: NEW_REQUESTS_ONLY,
      kind: NOT_RUNNING,
      maxRunning: NOT_RUNNING,
      upstreams: SCALING_ONLY,
    },
    changedEffect: 'no effect on requests',
  },
  {
    section: 'requestClasses',
    listEntries: text => byName(text.requestClasses),
    addedEffect: 'affects new requests only',
    removedEffect:
      'refuses new requests that name the class; those under way continue',
    fieldEffects: {
      isDefault: NEW_REQUESTS_ONLY,
      service: NEW_REQUESTS_ONLY,
    },
    changedEffect: NOT_RUNNING,
  },
  {
    section: 'organisations',
    listEntries: text => byName(text.organisations),
    addedEffect: 'no effect until a key is granted',
    removedEffect:
      'refuses new requests with its keys (invalid_key); those under way continue',
    fieldEffects: {weight: NOT_RUNNING},
    changedEffect: NEW_REQUESTS_ONLY,
  },
  {
    section: 'routes',
    // Each method is an entry, as methods of one path may move between routes.
    listEntries: ({routes}) =>
      routes.flatMap(({methods, path, ...fields}) =>
        methods.map(method => ({id: `${method} ${path}`, fields})),
      ),
    addedEffect: 'affects new requests only',
    removedEffect:
      'new requests get the next shorter path or are refused; those under way continue',
    changedEffect: NEW_REQUESTS_ONLY,
  },
];
