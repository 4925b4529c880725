import {z} from 'zod';

/** Invalid elements after which the rest of a list is not validated. */
const MAX_INVALID_ELEMENTS = 20;

/**
 * Creates the schema of a list that another process sent. Unlike `z.array` it reports the
 * first invalid elements only: a list of many would fill the heap with its errors.
 */
export function listOf<T extends z.ZodType>(element: T) {
  return z
    .array(z.unknown())
    .transform((values, context): Array<z.output<T>> => {
      const elements: Array<z.output<T>> = [];
      let invalidCount = 0;
      for (const [i, value] of values.entries()) {
        const result = element.safeParse(value);
        if (result.success) {
          elements.push(result.data);
          continue;
        }
        for (const {message, path} of result.error.issues) {
          context.addIssue({code: 'custom', message, path: [i, ...path]});
        }
        if (++invalidCount === MAX_INVALID_ELEMENTS) break;
      }
      return elements;
    });
}
