const COMMA = ','.charCodeAt(0);
const OPENING_BRACE = '{'.charCodeAt(0);
const OPENING_BRACKET = '['.charCodeAt(0);

/**
 * Parses JSON that another process sent. Throws a RangeError if it has more than `maxValues`
 * values, before they take memory: `{}` takes some twenty times that of its text. Commas
 * inside of strings count as well. Throws a SyntaxError if the text is not JSON.
 */
export function parseJson(text: string, maxValues: number): unknown {
  if (text.length > maxValues && countValues(text) > maxValues) {
    throw new RangeError(`the JSON has more than ${maxValues} values`);
  }
  return JSON.parse(text);
}

/** Returns an upper bound of the number of values. */
function countValues(text: string): number {
  let count = 1;
  for (let i = 0; i < text.length; i++) {
    const code = text.charCodeAt(i);
    if (code === COMMA || code === OPENING_BRACE || code === OPENING_BRACKET) {
      count++;
    }
  }
  return count;
}
