import { diffIndices } from 'node-diff3';

/** Line that two edits changed to different texts. */
export interface LineConflict {
  /** Line number in the common base text, from 1. */
  readonly line: number;
  readonly baseText: string;
  /** The line in the current text, or undefined when it was removed. */
  readonly currentText?: string;
  /** The line in the edited text, or undefined when the edit removes it. */
  readonly editedText?: string;
}

/** Merged text, valid only without conflicts. */
export interface MergeResult {
  readonly text: string;
  readonly conflicts: readonly LineConflict[];
}

/** Changes of one edit, by line index in the base text. */
interface LineChanges {
  /** New texts of changed lines; undefined for removed lines. */
  readonly changedByLine: ReadonlyMap<number, string | undefined>;
  /** Lines inserted before the line at the index. */
  readonly insertedByLine: ReadonlyMap<number, readonly string[]>;
}

/**
 * Merges two edits of a base text by line (three-way merge). Edits of different
 * lines are both applied, also on adjacent lines. Lines that the edits insert at
 * the same position are all kept, those of the current text first; a line that
 * both insert is one, as often as both have it.
 */
export function mergeLines(
  baseText: string,
  currentText: string,
  editedText: string,
): MergeResult {
  const base = splitLines(baseText);
  const current = diffLines(base, splitLines(currentText));
  const edited = diffLines(base, splitLines(editedText));
  const conflicts = findConflicts(base, current, edited);
  return { text: joinLines(mergeEdits(base, current, edited)), conflicts };
}

/** Returns the lines that a change from `before` to `after` adds, changed lines included. */
export function addedLines(before: string, after: string): readonly string[] {
  return diffIndices(splitLines(before), splitLines(after)).flatMap(
    hunk => hunk.buffer2Content,
  );
}

/** Returns the lines that a change from `before` to `after` removes, changed lines included. */
export function removedLines(before: string, after: string): readonly string[] {
  return addedLines(after, before);
}

function splitLines(text: string): string[] {
  const lines = text.split('\n');
  if (lines.at(-1) === '') lines.pop();
  return lines;
}

function joinLines(lines: readonly string[]): string {
  return lines.map(line => `${line}\n`).join('');
}

function diffLines(base: string[], after: string[]): LineChanges {
  const changed = new Map<number, string | undefined>();
  const inserted = new Map<number, readonly string[]>();
  for (const hunk of diffIndices(base, after)) {
    const [start, length] = hunk.buffer1;
    for (let offset = 0; offset < length; offset += 1) {
      changed.set(start + offset, hunk.buffer2Content[offset]);
    }
    const insertedLines = hunk.buffer2Content.slice(length);
    if (insertedLines.length > 0) inserted.set(start + length, insertedLines);
  }
  return { changedByLine: changed, insertedByLine: inserted };
}

function findConflicts(
  base: readonly string[],
  current: LineChanges,
  edited: LineChanges,
): readonly LineConflict[] {
  const conflicts: LineConflict[] = [];
  for (const [index, editedText] of edited.changedByLine) {
    if (!current.changedByLine.has(index)) continue;
    const currentText = current.changedByLine.get(index);
    if (currentText === editedText) continue;
    const baseText = base[index] ?? '';
    conflicts.push({ line: index + 1, baseText, currentText, editedText });
  }
  return conflicts;
}

/** Returns the lines without those in `others`, each of which takes out one. */
function withoutEach(
  lines: readonly string[],
  others: readonly string[],
): readonly string[] {
  const left = [...others];
  return lines.filter(line => {
    const index = left.indexOf(line);
    if (index >= 0) left.splice(index, 1);
    return index < 0;
  });
}

function mergeEdits(
  base: readonly string[],
  current: LineChanges,
  edited: LineChanges,
): readonly string[] {
  const merged: string[] = [];
  for (let index = 0; index <= base.length; index += 1) {
    const currentLines = current.insertedByLine.get(index) ?? [];
    const editedLines = edited.insertedByLine.get(index) ?? [];
    merged.push(...currentLines, ...withoutEach(editedLines, currentLines));
    if (index === base.length) break;
    const source = edited.changedByLine.has(index) ? edited : current;
    const line = source.changedByLine.has(index)
      ? source.changedByLine.get(index)
      : base[index];
    if (line !== undefined) merged.push(line);
  }
  return merged;
}
