import {createHash} from 'node:crypto';
import type {RouteTable} from '@sardinestile/route_table';
import type {ComparedSection} from './compare_versions.js';

const NEW_REQUESTS_ONLY = 'affects new requests only; others continue';

/** Keys are secret, so that they are shown by the first digits of their hash. */
const SHOWN_HASH_DIGITS = 8;

/** The sections of a route table, with the effects of their changes. */
export const TABLE_SECTIONS: ReadonlyArray<ComparedSection<RouteTable>> = [
  {
    section: 'routes',
    listEntries: ({routes}) =>
      routes.map(({host, pathPrefix, ...fields}) => ({
        id: `${host.toLowerCase()}${pathPrefix}`,
        fields,
      })),
    addedEffect: 'affects new requests only',
    removedEffect:
      'new requests get the next shorter prefix or are refused; those under way continue',
    changedEffect: NEW_REQUESTS_ONLY,
  },
  {
    section: 'services',
    listEntries: ({services}) =>
      services.map(service => ({id: service.name, fields: {...service}})),
    addedEffect: 'no effect until a route leads to it',
    removedEffect: 'requests under way are not ended by the change',
    fieldEffects: {
      scaling:
        'affects the number of upstreams; requests are not ended by the change',
    },
    changedEffect: 'affects new attempts only; running ones continue',
  },
  {
    section: 'organisations',
    listEntries: ({keyHolders = []}) =>
      keyHolders.map(({name, priority}) => ({id: name, fields: {priority}})),
    addedEffect: 'affects new requests only',
    removedEffect: 'refuses new requests; those under way continue',
    changedEffect: NEW_REQUESTS_ONLY,
  },
  {
    section: 'keys',
    listEntries: ({keyHolders = []}) =>
      keyHolders.flatMap(({name, keys}) =>
        keys.map(key => ({
          id: `sha256:${hashKey(key)}`,
          fields: {organisation: name},
        })),
      ),
    addedEffect: 'affects new requests only',
    removedEffect:
      'refuses new requests with the key; streams under way continue',
    changedEffect: NEW_REQUESTS_ONLY,
  },
  {
    section: 'limits',
    listEntries: ({limits}) => [{id: 'limits', fields: {...limits}}],
    addedEffect: NEW_REQUESTS_ONLY,
    removedEffect: NEW_REQUESTS_ONLY,
    changedEffect: NEW_REQUESTS_ONLY,
  },
];

function hashKey(key: string): string {
  const hash = createHash('sha256').update(key).digest('hex');
  return hash.slice(0, SHOWN_HASH_DIGITS);
}
