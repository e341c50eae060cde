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

function line(name: string): string {
  return `kind=${name} target=model # desk, ${name}`;
}

class Bench {
  readonly clock = new ManualClock();
  readonly store = new MemoryKeyValue(this.clock);
  readonly faults: Fault[] = [];
  private readonly faulty = new FaultyKeyValue(
    this.store,
    this.clock,
    operation => (operation === 'put' ? this.nextFault() : Fault.None),
  );
  readonly editor = new RuleEditor(this.faulty, this.clock);

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

  private nextFault(): Fault {
    return this.faults.shift() ?? Fault.None;
  }
}

describe('RuleEditor', () => {
  it('holds two edits of different lines from one base', async () => {
    const bench = new Bench();
    await bench.append('e0', line('a'));
    const base = { text: await bench.text(), revision: 1 };
    await bench.apply('e1', base, `${line('b')}\n${base.text}`);
    const second = await bench.apply('e2', base, `${base.text}${line('c')}\n`);
    assert.equal(second.outcome, EditOutcome.Applied);
    assert.equal(
      await bench.text(),
      [line('b'), line('a'), line('c'), ''].join('\n'),
    );
  });

  it('refuses the second edit of one line with both texts', async () => {
    const bench = new Bench();
    await bench.append('e0', line('a'));
    const base = { text: await bench.text(), revision: 1 };
    await bench.apply('e1', base, `${line('b')}\n`);
    const second = await bench.apply('e2', base, `${line('c')}\n`);
    assert.equal(second.outcome, EditOutcome.Conflict);
    assert.deepEqual(second.conflicts, [
      {
        line: 1,
        baseText: line('a'),
        currentText: line('b'),
        editedText: line('c'),
      },
    ]);
  });

  it('reads back an edit whose answer was lost and applies it once', async () => {
    const bench = new Bench();
    bench.faults.push(Fault.AnswerLost);
    const result = await bench.append('e1', line('a'));
    assert.equal(result.outcome, EditOutcome.Applied);
    assert.equal(result.revision, 1);
    const base = { text: '', revision: 0 };
    const repeat = await bench.apply('e1', base, `${line('a')}\n`);
    assert.equal(repeat.revision, 1);
    assert.equal(await bench.revision(), 1);
  });

  it('says unavailable only where nothing can have been written', async () => {
    const bench = new Bench();
    bench.faults.push(Fault.Down);
    const refused = await bench.append('e1', line('a'));
    assert.equal(refused.outcome, EditOutcome.Unavailable);
    bench.faults.push(Fault.CallLost, Fault.Down);
    const lost = await bench.append('e1', line('a'));
    assert.equal(lost.outcome, EditOutcome.Unknown);
  });

  it('refuses a file with faults and a base that never was', async () => {
    const bench = new Bench();
    const invalid = await bench.append('e1', 'colour=red');
    assert.equal(invalid.outcome, EditOutcome.Invalid);
    const base = { text: '', revision: 9 };
    const ahead = await bench.apply('e2', base, `${line('a')}\n`);
    assert.equal(ahead.outcome, EditOutcome.WrongBase);
  });

  it('keeps who changed what when the edits move to the history', async () => {
    const bench = new Bench();
    const count = MAX_RECENT_EDITS + 5;
    for (let index = 1; index <= count; index += 1) {
      await bench.append(`e${index}`, line(`kind-${index}`));
    }
    const edits = await bench.editor.readHistory(DEADLINE_AT_MS);
    assert.deepEqual(
      edits.map(edit => edit.revision),
      Array.from({ length: count }, (_, index) => count - index),
    );
    assert.deepEqual(edits.at(-1)?.added, [line('kind-1')]);
    const base = { text: '', revision: 0 };
    const repeat = await bench.apply('e1', base, `${line('kind-1')}\n`);
    assert.equal(repeat.revision, 1);
  });

  it('loses no accepted line under two editors and lost answers', async () => {
    const fault = fc.constantFrom(Fault.None, Fault.AnswerLost, Fault.CallLost);
    const step = fc.record({ editor: fc.nat({ max: 1 }), fault });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12 }), async steps => {
        const bench = new Bench();
        const accepted: string[] = [];
        const bases = [0, 1].map(() => ({ text: '', revision: 0 }));
        for (const [index, { editor, fault: next }] of steps.entries()) {
          bench.faults.splice(0, Infinity, next);
          const added = line(`kind-${index}`);
          const base = bases[editor] ?? { text: '', revision: 0 };
          const text = `${added}\n${base.text}`;
          const result = await bench.apply(`e${index}`, base, text);
          assert.equal(result.outcome, EditOutcome.Applied);
          accepted.push(added);
          bases[editor] = {
            text: await bench.text(),
            revision: await bench.revision(),
          };
        }
        const lines = (await bench.text()).split('\n').filter(Boolean);
        assert.deepEqual(lines.sort(), accepted.sort());
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});
