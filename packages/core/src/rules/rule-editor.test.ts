import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import { ManualClock } from '../ports/index.js';
import {
  decodeRuleDocument,
  MAX_RECENT_EDITS,
  RULES_KEY,
} from './rule-document.js';
import type { EditResult } from './rule-editor.js';
import { EditOutcome, RuleEditor } from './rule-editor.js';

const SEED = 23;
const DEADLINE_AT_MS = 10_000;

function ruleLine(kind: string): string {
  return `kind=${kind} target=model # desk, ${kind}`;
}

class EditorFixture {
  readonly clock = new ManualClock();
  readonly store = new MemoryKeyValue(this.clock);
  readonly faults: Fault[] = [];
  /** Fault of every read. */
  readFault = Fault.None;
  private readonly faultyStore = new FaultyKeyValue(
    this.store,
    this.clock,
    operation => this.faultOf(operation),
  );
  readonly editor = new RuleEditor(this.faultyStore, this.clock);

  async text(): Promise<string> {
    const entry = await this.store.get(RULES_KEY);
    return decodeRuleDocument(entry?.value ?? '')?.text ?? '';
  }

  async revision(): Promise<number> {
    return (await this.store.get(RULES_KEY))?.version ?? 0;
  }

  apply(
    editId: string,
    base: { text: string; revision: number },
    text: string,
  ): Promise<EditResult> {
    return this.editor.apply({
      editId,
      operator: 'operations',
      baseRevision: base.revision,
      baseText: base.text,
      text,
      deadlineAtMs: DEADLINE_AT_MS,
    });
  }

  async append(editId: string, added: string): Promise<EditResult> {
    const base = { text: await this.text(), revision: await this.revision() };
    return this.apply(editId, base, `${base.text}${added}\n`);
  }

  private faultOf(operation: string): Fault {
    if (operation !== 'put') return this.readFault;
    return this.faults.shift() ?? Fault.None;
  }
}

describe('RuleEditor', () => {
  it('merges two edits of different lines from one base', async () => {
    const fixture = new EditorFixture();
    await fixture.append('e0', ruleLine('a'));
    const base = { text: await fixture.text(), revision: 1 };
    await fixture.apply('e1', base, `${ruleLine('b')}\n${base.text}`);
    const second = await fixture.apply(
      'e2',
      base,
      `${base.text}${ruleLine('c')}\n`,
    );
    assert.equal(second.outcome, EditOutcome.Applied);
    assert.equal(
      await fixture.text(),
      [ruleLine('b'), ruleLine('a'), ruleLine('c'), ''].join('\n'),
    );
  });

  it('rejects the second edit of the same line and reports both texts', async () => {
    const fixture = new EditorFixture();
    await fixture.append('e0', ruleLine('a'));
    const base = { text: await fixture.text(), revision: 1 };
    await fixture.apply('e1', base, `${ruleLine('b')}\n`);
    const second = await fixture.apply('e2', base, `${ruleLine('c')}\n`);
    assert.equal(second.outcome, EditOutcome.Conflict);
    assert.deepEqual(second.conflicts, [
      {
        line: 1,
        baseText: ruleLine('a'),
        currentText: ruleLine('b'),
        editedText: ruleLine('c'),
      },
    ]);
  });

  it('reads back an edit whose answer was lost, and applies it once', async () => {
    const fixture = new EditorFixture();
    fixture.faults.push(Fault.AnswerLost);
    const result = await fixture.append('e1', ruleLine('a'));
    assert.equal(result.outcome, EditOutcome.Applied);
    assert.equal(result.revision, 1);
    const base = { text: '', revision: 0 };
    const repeat = await fixture.apply('e1', base, `${ruleLine('a')}\n`);
    assert.equal(repeat.revision, 1);
    assert.equal(await fixture.revision(), 1);
  });

  it('reports unavailable only when nothing can have been written', async () => {
    const fixture = new EditorFixture();
    fixture.faults.push(Fault.Down);
    const unavailable = await fixture.append('e1', ruleLine('a'));
    assert.equal(unavailable.outcome, EditOutcome.Unavailable);
    fixture.faults.push(Fault.CallLost, Fault.Down);
    const unknown = await fixture.append('e1', ruleLine('a'));
    assert.equal(unknown.outcome, EditOutcome.Unknown);
  });

  it('does not say that an edit may be written where only answers to reads were lost', async () => {
    const fixture = new EditorFixture();
    fixture.readFault = Fault.AnswerLost;
    const result = await fixture.append('e1', ruleLine('a'));
    assert.equal(result.outcome, EditOutcome.Unavailable);
  });

  it('rejects a file with errors and a base revision that does not exist', async () => {
    const fixture = new EditorFixture();
    const invalid = await fixture.append('e1', 'colour=red');
    assert.equal(invalid.outcome, EditOutcome.Invalid);
    const base = { text: '', revision: 9 };
    const wrongBase = await fixture.apply('e2', base, `${ruleLine('a')}\n`);
    assert.equal(wrongBase.outcome, EditOutcome.WrongBase);
  });

  it('keeps the edit records when the edits are archived', async () => {
    const fixture = new EditorFixture();
    const count = MAX_RECENT_EDITS + 5;
    for (let index = 1; index <= count; index += 1) {
      await fixture.append(`e${index}`, ruleLine(`kind-${index}`));
    }
    const edits = await fixture.editor.readHistory(DEADLINE_AT_MS);
    assert.deepEqual(
      edits.map(edit => edit.revision),
      Array.from({ length: count }, (_, index) => count - index),
    );
    assert.deepEqual(edits.at(-1)?.added, [ruleLine('kind-1')]);
    const base = { text: '', revision: 0 };
    const repeat = await fixture.apply('e1', base, `${ruleLine('kind-1')}\n`);
    assert.equal(repeat.revision, 1);
  });

  it('loses no accepted line with two concurrent editors and lost answers', async () => {
    const fault = fc.constantFrom(Fault.None, Fault.AnswerLost, Fault.CallLost);
    const step = fc.record({ editor: fc.nat({ max: 1 }), fault });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12 }), async steps => {
        const fixture = new EditorFixture();
        const accepted: string[] = [];
        const bases = [0, 1].map(() => ({ text: '', revision: 0 }));
        for (const [index, { editor, fault: next }] of steps.entries()) {
          fixture.faults.splice(0, Infinity, next);
          const added = ruleLine(`kind-${index}`);
          const base = bases[editor] ?? { text: '', revision: 0 };
          const text = `${added}\n${base.text}`;
          const result = await fixture.apply(`e${index}`, base, text);
          assert.equal(result.outcome, EditOutcome.Applied);
          accepted.push(added);
          bases[editor] = {
            text: await fixture.text(),
            revision: await fixture.revision(),
          };
        }
        const lines = (await fixture.text()).split('\n').filter(Boolean);
        assert.deepEqual(lines.sort(), accepted.sort());
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});
