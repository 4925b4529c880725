import {isNode, LineCounter, parseDocument, type Document} from 'yaml';

/** Position in a text; line and column start at 1. */
export interface TextPosition {
  line: number;
  column: number;
}

/** Path of a value, such as `['services', 0, 'kind']`. */
export type ValuePath = ReadonlyArray<string | number>;

/** A parsed YAML or JSON text whose values can be located by their paths. */
export interface LocatedDocument {
  document: Document;
  /** Returns the position of a character offset. */
  positionAt(offset: number): TextPosition;
  /** Returns the position of a value, or of its nearest existing parent. */
  locate(path: ValuePath): TextPosition;
}

/** Parses a YAML text, of which JSON is a subset. */
export function parseLocatedDocument(source: string): LocatedDocument {
  const lineCounter = new LineCounter();
  const document = parseDocument(source, {lineCounter});
  const positionAt = (offset: number) => {
    const {line, col} = lineCounter.linePos(offset);
    return {line: Math.max(1, line), column: Math.max(1, col)};
  };
  return {
    document,
    positionAt,
    locate: path => positionAt(findOffset(document, path)),
  };
}

function findOffset(document: Document, path: ValuePath): number {
  for (let length = path.length; length >= 0; length--) {
    const node =
      length === 0
        ? document.contents
        : document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return node.range[0];
  }
  return 0;
}
