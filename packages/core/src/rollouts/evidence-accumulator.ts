import type { KindEvidence } from '../moves/index.js';
import type { SampleBlock } from '../moves/index.js';
import { addBlocks, SIGNALS } from '../moves/index.js';

type TotalsByKind = Map<string, KindEvidence>;

/** Running totals of evidence, by kind. */
export class EvidenceAccumulator {
  private totalsByKind: TotalsByKind = new Map();

  add(evidence: readonly KindEvidence[]): void {
    for (const added of evidence) {
      const total = this.totalsByKind.get(added.kind);
      this.totalsByKind.set(
        added.kind,
        total === undefined ? added : combine(total, added, addBlocks),
      );
    }
  }

  /** Returns the increase of the totals over `earlier`; counts never go below 0. */
  increaseSince(earlier: readonly KindEvidence[]): readonly KindEvidence[] {
    const earlierByKind = new Map(
      earlier.map(evidence => [evidence.kind, evidence]),
    );
    return this.values().map(total => {
      const previous = earlierByKind.get(total.kind);
      return previous === undefined
        ? total
        : combine(total, previous, subtract);
    });
  }

  values(): KindEvidence[] {
    return [...this.totalsByKind.values()];
  }

  /** Returns the totals and resets them. */
  drain(): readonly KindEvidence[] {
    const values = this.values();
    this.totalsByKind = new Map();
    return values;
  }
}

function combine(
  left: KindEvidence,
  right: KindEvidence,
  combineBlocks: (left: SampleBlock, right: SampleBlock) => SampleBlock,
): KindEvidence {
  const combined = { ...left };
  for (const signal of SIGNALS) {
    combined[signal] = combineBlocks(left[signal], right[signal]);
  }
  return combined;
}

function subtract(left: SampleBlock, right: SampleBlock): SampleBlock {
  return {
    newCount: Math.max(0, left.newCount - right.newCount),
    newEvents: Math.max(0, left.newEvents - right.newEvents),
    oldCount: Math.max(0, left.oldCount - right.oldCount),
    oldEvents: Math.max(0, left.oldEvents - right.oldEvents),
  };
}
