import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { mergeLines } from './merge-lines.js';

const SEED = 11;
const BASE = 'one\ntwo\nthree\n';

describe('mergeLines', () => {
  it('applies edits of adjacent lines', () => {
    const merged = mergeLines(
      BASE,
      'one\nTWO\nthree\n',
      'one\ntwo\nTHREE\nfour\n',
    );
    assert.deepEqual(merged.conflicts, []);
    assert.equal(merged.text, 'one\nTWO\nTHREE\nfour\n');
  });

  it('reports a line that both edits changed, with both texts', () => {
    const { conflicts } = mergeLines(BASE, 'one\nTWO\nthree\n', 'one\nthree\n');
    assert.deepEqual(conflicts, [
      { line: 2, baseText: 'two', currentText: 'TWO', editedText: undefined },
    ]);
  });

  it('keeps the lines that both edits insert at the same position, current ones first', () => {
    const merged = mergeLines(
      BASE,
      'one\nA\ntwo\nthree\n',
      'one\nB\ntwo\nthree\n',
    );
    assert.equal(merged.text, 'one\nA\nB\ntwo\nthree\n');
  });

  it('keeps a line that one edit inserts more often than the other', () => {
    const merged = mergeLines(
      BASE,
      'one\n# note\nA\ntwo\nthree\n',
      'one\n# note\nB\n# note\nC\ntwo\nthree\n',
    );
    assert.equal(merged.text, 'one\n# note\nA\nB\n# note\nC\ntwo\nthree\n');
  });

  it('preserves every inserted line and every change by one side only', () => {
    const line = fc.stringMatching(/^[a-z]{1,6}$/);
    const lines = fc.uniqueArray(line, { minLength: 1, maxLength: 8 });
    const lineChoices = fc.array(fc.integer({ min: 0, max: 3 }), {
      minLength: 8,
      maxLength: 8,
    });
    fc.assert(
      fc.property(
        lines,
        lineChoices,
        lineChoices,
        (base, currentChoices, editedChoices) => {
          const current = editLines(base, currentChoices, 'C');
          const edited = editLines(base, editedChoices, 'E');
          const merged = mergeLines(
            joinLines(base),
            joinLines(current),
            joinLines(edited),
          );
          if (merged.conflicts.length > 0) return;
          const text = merged.text.split('\n');
          for (const added of [...current, ...edited]) {
            if (!base.includes(added)) assert.ok(text.includes(added), added);
          }
          assert.equal(new Set(text).size, text.length);
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('returns the current text when the edit equals the base', () => {
    const texts = fc.array(fc.constantFrom('a', 'b', '# note', ''));
    fc.assert(
      fc.property(texts, texts, (base, current) => {
        const merged = mergeLines(
          joinLines(base),
          joinLines(current),
          joinLines(base),
        );
        assert.equal(merged.text, joinLines(current));
      }),
      { seed: SEED },
    );
  });
});

/**
 * Keeps, changes or removes each line, or inserts a line after it, by its
 * choice (0, 1, 2, 3).
 */
function editLines(
  base: readonly string[],
  choices: readonly number[],
  suffix: string,
): string[] {
  return base.flatMap((line, index) => {
    const choice = choices[index];
    if (choice === 1) return [`${line}-${suffix}`];
    if (choice === 2) return [];
    return choice === 3 ? [line, `${line}+${suffix}`] : [line];
  });
}

function joinLines(lines: readonly string[]): string {
  return lines.map(line => `${line}\n`).join('');
}
