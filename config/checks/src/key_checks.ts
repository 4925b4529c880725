import type {ServiceText} from '@sardinestile/service_text';
import type {UnlocatedWarning} from './check_finding.js';

/** An API key without its secret. */
export interface GrantedKey {
  keyId: string;
  organisation: string;
}

/**
 * Finds organisations that no key refers to, and keys whose organisation is not
 * in the text. An organisation that is not yet in force cannot have a key, so
 * that it is no finding.
 */
export function checkGrantedKeys(
  text: ServiceText,
  textInForce: ServiceText,
  keys: readonly GrantedKey[],
): UnlocatedWarning[] {
  const organisationsInForce = new Set(
    textInForce.organisations.map(({name}) => name),
  );
  const organisationsWithKey = new Set(keys.map(key => key.organisation));
  const organisations = new Set(text.organisations.map(({name}) => name));
  return [
    ...text.organisations.flatMap(({name}, index) =>
      organisationsInForce.has(name) && !organisationsWithKey.has(name)
        ? [
            {
              rule: 'organisation-without-key',
              path: ['organisations', index, 'name'],
              message: `no key refers to "${name}"`,
            },
          ]
        : [],
    ),
    ...keys
      .filter(({organisation}) => !organisations.has(organisation))
      .map(({keyId, organisation}) => ({
        rule: 'key-without-organisation',
        path: ['organisations'],
        message: `key ${keyId} belongs to "${organisation}", which the text does not have`,
      })),
  ];
}
