import type { KindEvidence } from '../moves/index.js';
import type { SampleBlock } from '../moves/index.js';
import { addBlocks, SIGNALS } from '../moves/index.js';

type Totals = Map<string, KindEvidence>;

/** Evidence by kind that adds up. */
export class EvidenceSum {
  private totals: Totals = new Map();

  add(evidence: readonly KindEvidence[]): void {
    for (const each of evidence) {
      const total = this.totals.get(each.kind);
      this.totals.set(
        each.kind,
        total === undefined ? each : combine(total, each, addBlocks),
      );
    }
  }

  /** What was added since `earlier` was the sum; nothing is negative. */
  since(earlier: readonly KindEvidence[]): readonly KindEvidence[] {
    const before = new Map(earlier.map(each => [each.kind, each]));
    return this.values().map(each => {
      const past = before.get(each.kind);
      return past === undefined ? each : combine(each, past, subtract);
    });
  }

  values(): KindEvidence[] {
    return [...this.totals.values()];
  }

  /** Takes everything out. */
  drain(): readonly KindEvidence[] {
    const values = this.values();
    this.totals = new Map();
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
