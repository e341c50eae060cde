import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { mergeLines } from './merge-lines.js';

const SEED = 11;
const BASE = 'one\ntwo\nthree\n';

describe('mergeLines', () => {
  it('holds edits of neighbouring lines', () => {
    const merged = mergeLines(
      BASE,
      'one\nTWO\nthree\n',
      'one\ntwo\nTHREE\nfour\n',
    );
    assert.deepEqual(merged.conflicts, []);
    assert.equal(merged.text, 'one\nTWO\nTHREE\nfour\n');
  });

  it('names a line that both changed, with both texts', () => {
    const { conflicts } = mergeLines(BASE, 'one\nTWO\nthree\n', 'one\nthree\n');
    assert.deepEqual(conflicts, [
      { line: 2, baseText: 'two', currentText: 'TWO', editedText: undefined },
    ]);
  });

  it('keeps what both insert at one place, those in force first', () => {
    const merged = mergeLines(
      BASE,
      'one\nA\ntwo\nthree\n',
      'one\nB\ntwo\nthree\n',
    );
    assert.equal(merged.text, 'one\nA\nB\ntwo\nthree\n');
  });

  it('loses no inserted line and no change of a line by one side', () => {
    const line = fc.stringMatching(/^[a-z]{1,6}$/);
    const lines = fc.uniqueArray(line, { minLength: 1, maxLength: 8 });
    const choices = fc.array(fc.integer({ min: 0, max: 3 }), {
      minLength: 8,
      maxLength: 8,
    });
    fc.assert(
      fc.property(lines, choices, choices, (base, first, second) => {
        const current = editOf(base, first, 'C');
        const edited = editOf(base, second, 'E');
        const merged = mergeLines(join(base), join(current), join(edited));
        if (merged.conflicts.length > 0) return;
        const text = merged.text.split('\n');
        for (const added of [...current, ...edited]) {
          if (!base.includes(added)) assert.ok(text.includes(added), added);
        }
        assert.equal(new Set(text).size, text.length);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('changes nothing where the edit changes nothing', () => {
    const texts = fc.array(fc.constantFrom('a', 'b', '# note', ''));
    fc.assert(
      fc.property(texts, texts, (base, current) => {
        const merged = mergeLines(join(base), join(current), join(base));
        assert.equal(merged.text, join(current));
      }),
      { seed: SEED },
    );
  });
});

/** Keeps, changes, removes or adds behind each line, as the choices say. */
function editOf(
  base: readonly string[],
  choices: readonly number[],
  mark: string,
): string[] {
  return base.flatMap((line, index) => {
    const choice = choices[index];
    if (choice === 1) return [`${line}-${mark}`];
    if (choice === 2) return [];
    return choice === 3 ? [line, `${line}+${mark}`] : [line];
  });
}

function join(lines: readonly string[]): string {
  return lines.map(line => `${line}\n`).join('');
}
