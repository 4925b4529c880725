import {isDeepStrictEqual} from 'node:util';

/** Kinds of differences of one entry between two versions. */
export type DifferenceKind = 'added' | 'removed' | 'changed';

/** Difference of one entry between two versions of a configuration. */
export interface VersionDifference {
  kind: DifferenceKind;
  /** List that has the entry, such as `routes`. */
  section: string;
  /** Identifies the entry within its section. */
  entry: string;
  /** Names of the changed fields; empty unless the kind is `changed`. */
  fields: string[];
  /** What the difference does to requests, in particular to those under way. */
  effects: string[];
}

/** An entry that is compared field by field. */
export interface ComparedEntry {
  id: string;
  fields: Readonly<Record<string, unknown>>;
}

/** How one section of a configuration is compared. */
export interface ComparedSection<T> {
  section: string;
  listEntries: (configuration: T) => ComparedEntry[];
  addedEffect: string;
  removedEffect: string;
  /** Effects of changed fields that differ from `changedEffect`. */
  fieldEffects?: Readonly<Record<string, string>>;
  changedEffect: string;
}

/**
 * Returns the entries that are added, removed or changed between two versions,
 * in the order of the sections. The order of entries is not compared.
 */
export function compareVersions<T>(
  sections: ReadonlyArray<ComparedSection<T>>,
  before: T,
  after: T,
): VersionDifference[] {
  return sections.flatMap(section => {
    const {section: name, listEntries} = section;
    const fieldEffects = new Map(Object.entries(section.fieldEffects ?? {}));
    const oldEntries = indexEntries(listEntries(before));
    const newEntries = indexEntries(listEntries(after));
    const differences: VersionDifference[] = [];
    for (const [entry, fields] of newEntries) {
      const oldFields = oldEntries.get(entry);
      if (!oldFields) {
        const effects = [section.addedEffect];
        differences.push({
          kind: 'added',
          section: name,
          entry,
          fields: [],
          effects,
        });
        continue;
      }
      const changed = listChangedFields(oldFields, fields);
      if (changed.length === 0) continue;
      const effects = new Set(
        changed.map(field => fieldEffects.get(field) ?? section.changedEffect),
      );
      differences.push({
        kind: 'changed',
        section: name,
        entry,
        fields: changed,
        effects: [...effects],
      });
    }
    for (const entry of oldEntries.keys()) {
      if (newEntries.has(entry)) continue;
      differences.push({
        kind: 'removed',
        section: name,
        entry,
        fields: [],
        effects: [section.removedEffect],
      });
    }
    return differences;
  });
}

/** Formats a difference as one line. */
export function formatDifference(difference: VersionDifference): string {
  const {kind, section, entry, fields, effects} = difference;
  const details = fields.length > 0 ? ` (${fields.join(', ')})` : '';
  return `${kind} ${section} "${entry}"${details}: ${effects.join('; ')}`;
}

function indexEntries(entries: readonly ComparedEntry[]) {
  return new Map(entries.map(({id, fields}) => [id, fields]));
}

function listChangedFields(
  before: ComparedEntry['fields'],
  after: ComparedEntry['fields'],
): string[] {
  const values = new Map(Object.entries(before));
  const newValues = new Map(Object.entries(after));
  return Object.keys({...before, ...after}).filter(
    name => !isDeepStrictEqual(values.get(name), newValues.get(name)),
  );
}
