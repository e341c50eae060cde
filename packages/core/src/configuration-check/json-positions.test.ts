import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import {
  findNode,
  JsonSyntaxError,
  LineIndex,
  locateJson,
} from './json-positions.js';

const SEED = 1;

function isAccepted(parse: () => unknown): boolean {
  try {
    parse();
    return true;
  } catch (error) {
    assert.ok(error instanceof SyntaxError || error instanceof JsonSyntaxError);
    return false;
  }
}

function errorPosition(text: string): string {
  try {
    locateJson(text);
  } catch (error) {
    assert.ok(error instanceof JsonSyntaxError);
    const { column, line } = new LineIndex(text).positionAt(error.offset);
    return `${line}:${column}`;
  }
  return 'none';
}

describe('locateJson', () => {
  it('accepts what JSON.parse accepts, also after a character was replaced or the end was cut off', () => {
    const property = fc.property(
      fc.json(),
      fc.nat(),
      fc.constantFrom(...Array.from('{}[]",:\\0-.e\u0001 tu')),
      fc.boolean(),
      (json, place, character, isCut) => {
        const at = place % (json.length + 1);
        const rest = isCut ? '' : character + json.slice(at + 1);
        for (const text of [json, json.slice(0, at) + rest]) {
          assert.equal(
            isAccepted(() => locateJson(text)),
            isAccepted((): unknown => JSON.parse(text)),
            text,
          );
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
  });

  it('locates values by path, and the object that lacks a member', () => {
    const text = '{\n  "a": [1, {"\\u0062": "x"}],\n  "a": [true, {"b": 2}]\n}';
    const { replacedOffsets, root } = locateJson(text);
    const lines = new LineIndex(text);
    const positionOf = (...path: (string | number)[]) =>
      lines.positionAt(findNode(root, path).offset);
    assert.deepEqual(positionOf('a', 1, 'b'), { line: 3, column: 21 });
    assert.deepEqual(positionOf('a', 1, 'missing'), { line: 3, column: 15 });
    assert.deepEqual(
      replacedOffsets.map(offset => lines.positionAt(offset)),
      [{ line: 2, column: 8 }],
    );
  });

  it('reports where the grammar is violated, and does not overflow the stack', () => {
    assert.equal(errorPosition(''), '1:1');
    assert.equal(errorPosition('{\n "a": 1,\n}'), '3:1');
    assert.equal(errorPosition('{"a": 01}'), '1:8');
    assert.equal(errorPosition('{} x'), '1:4');
    assert.equal(errorPosition('['.repeat(100_000)), '1:258');
  });
});
