import {z} from 'zod';

/**
 * Creates the schema of a JSON object whose names another process chooses, such as those of
 * services; it is decoded as a map. `z.record` would drop the name `__proto__`, and an object
 * answers names such as `constructor` with what it inherits.
 */
export function nameMapOf<T extends z.ZodType>(value: T) {
  return z.preprocess(
    input => (isObject(input) ? new Map(Object.entries(input)) : input),
    z.map(z.string(), value),
  );
}

/** Encodes a value as JSON, with the maps in it as objects. */
export function stringifyNameMaps(value: unknown): string {
  return JSON.stringify(value, (_name, inner: unknown) =>
    inner instanceof Map ? Object.fromEntries(inner) : inner,
  );
}

function isObject(input: unknown): input is object {
  return typeof input === 'object' && input !== null && !Array.isArray(input);
}
