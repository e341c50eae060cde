import { diffIndices } from 'node-diff3';

/** A line that two edits changed differently. */
export interface LineConflict {
  /** Number of the line in the text that both edits started from, from 1. */
  readonly line: number;
  readonly baseText: string;
  /** The line in force, or undefined where it was removed. */
  readonly currentText?: string;
  /** The line that the second edit wants, or undefined where it removes it. */
  readonly editedText?: string;
}

export interface MergeResult {
  readonly text: string;
  readonly conflicts: readonly LineConflict[];
}

/** One edit of a text, by the lines that it started from. */
interface LineEdits {
  /** New text of changed lines, or undefined where a line is removed. */
  readonly changed: ReadonlyMap<number, string | undefined>;
  /** Lines inserted before the line at the index. */
  readonly inserted: ReadonlyMap<number, readonly string[]>;
}

/**
 * Three-way merge by line. Edits of different lines both hold, neighbours
 * included; lines that both insert at one place follow each other, those in
 * force first.
 */
export function mergeLines(
  baseText: string,
  currentText: string,
  editedText: string,
): MergeResult {
  const base = splitLines(baseText);
  const current = lineEdits(base, splitLines(currentText));
  const edited = lineEdits(base, splitLines(editedText));
  const conflicts = findConflicts(base, current, edited);
  return { text: joinLines(mergeEdits(base, current, edited)), conflicts };
}

/** Lines that `after` has and `before` has not. */
export function addedLines(before: string, after: string): readonly string[] {
  return diffIndices(splitLines(before), splitLines(after)).flatMap(
    hunk => hunk.buffer2Content,
  );
}

/** Lines that `before` has and `after` has not. */
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

function lineEdits(base: string[], after: string[]): LineEdits {
  const changed = new Map<number, string | undefined>();
  const inserted = new Map<number, readonly string[]>();
  for (const hunk of diffIndices(base, after)) {
    const [start, length] = hunk.buffer1;
    for (let offset = 0; offset < length; offset += 1) {
      changed.set(start + offset, hunk.buffer2Content[offset]);
    }
    const extra = hunk.buffer2Content.slice(length);
    if (extra.length > 0) inserted.set(start + length, extra);
  }
  return { changed, inserted };
}

function findConflicts(
  base: readonly string[],
  current: LineEdits,
  edited: LineEdits,
): readonly LineConflict[] {
  const conflicts: LineConflict[] = [];
  for (const [index, editedText] of edited.changed) {
    if (!current.changed.has(index)) continue;
    const currentText = current.changed.get(index);
    if (currentText === editedText) continue;
    const baseText = base[index] ?? '';
    conflicts.push({ line: index + 1, baseText, currentText, editedText });
  }
  return conflicts;
}

function mergeEdits(
  base: readonly string[],
  current: LineEdits,
  edited: LineEdits,
): readonly string[] {
  const merged: string[] = [];
  for (let index = 0; index <= base.length; index += 1) {
    const first = current.inserted.get(index) ?? [];
    const second = edited.inserted.get(index) ?? [];
    merged.push(...first, ...second.filter(line => !first.includes(line)));
    if (index === base.length) break;
    const source = edited.changed.has(index) ? edited : current;
    const line = source.changed.has(index)
      ? source.changed.get(index)
      : base[index];
    if (line !== undefined) merged.push(line);
  }
  return merged;
}
