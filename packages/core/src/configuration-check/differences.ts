import type { ConfigurationSection } from './finding.js';

export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** Entry of a configuration in a form that can be compared and printed. */
export interface ComparedEntry {
  readonly section: ConfigurationSection;
  readonly name: string;
  /** Printable values by field; API keys only as hashes. */
  readonly fields: ReadonlyMap<string, string>;
}

/** Field whose values differ; a value is undefined if the entry lacks the field. */
export interface FieldDifference {
  readonly field: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

/** Entry that two versions of a configuration do not have in common. */
export interface EntryDifference {
  readonly section: ConfigurationSection;
  readonly name: string;
  readonly change: ChangeKind;
  /** Differing fields of a changed entry, otherwise empty. */
  readonly fields: readonly FieldDifference[];
}

/** Returns what was removed, changed and added. Entries are identified by section and name, those of the same name also by their order. */
export function findDifferences(
  before: readonly ComparedEntry[],
  after: readonly ComparedEntry[],
): readonly EntryDifference[] {
  const afterByKey = indexEntries(after);
  const beforeByKey = indexEntries(before);
  const removedOrChanged = [...beforeByKey].flatMap(([key, entry]) => {
    const next = afterByKey.get(key);
    if (next === undefined) return differenceOf(entry, ChangeKind.Removed);
    const fields = compareFields(entry.fields, next.fields);
    return fields.length === 0
      ? []
      : differenceOf(entry, ChangeKind.Changed, fields);
  });
  const added = [...afterByKey]
    .filter(([key]) => !beforeByKey.has(key))
    .map(([, entry]) => differenceOf(entry, ChangeKind.Added));
  return [...removedOrChanged, ...added];
}

function differenceOf(
  { name, section }: ComparedEntry,
  change: ChangeKind,
  fields: readonly FieldDifference[] = [],
): EntryDifference {
  return { section, name, change, fields };
}

function indexEntries(
  entries: readonly ComparedEntry[],
): ReadonlyMap<string, ComparedEntry> {
  const countByName = new Map<string, number>();
  return new Map(
    entries.map(entry => {
      const name = JSON.stringify([entry.section, entry.name]);
      const count = countByName.get(name) ?? 0;
      countByName.set(name, count + 1);
      return [`${name}${count}`, entry];
    }),
  );
}

function compareFields(
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): readonly FieldDifference[] {
  return [...new Set([...before.keys(), ...after.keys()])]
    .map(field => ({
      field,
      before: before.get(field),
      after: after.get(field),
    }))
    .filter(difference => difference.before !== difference.after);
}
