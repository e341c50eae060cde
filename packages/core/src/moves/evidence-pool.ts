import type { EvidenceReport, KindEvidence } from './evidence.js';
import { Signal } from './move.js';
import { addBlocks } from './sample-block.js';
import type { KindRates } from './share-plan.js';

/** How reports are put into blocks. */
export interface BlockTiming {
  /** Span of one block in milliseconds. */
  readonly blockMs: number;
  /** Time after its end at which a block is taken, so that late reports are in it. */
  readonly lagMs: number;
}

/** Weight of the newest span in the estimate of a kind's rate. */
const RATE_WEIGHT = 0.1;
const MS_PER_SECOND = 1_000;

interface Reporter {
  readonly sequence: number;
  readonly reportedAtMs: number;
}

type Block = Map<string, KindEvidence>;

/**
 * Evidence of daemons in short blocks by the time of the report.
 * Shares and failure rates change with time: one block over a long span would
 * hold a fault of both versions against the one whose share has grown.
 */
export class EvidencePool {
  private readonly reporters = new Map<string, Reporter>();
  private readonly blocks = new Map<number, Block>();
  private readonly rates = new Map<string, number>();

  constructor(private readonly timing: BlockTiming) {}

  /** Adds a report; one that was added before is dropped. */
  add(report: EvidenceReport): void {
    const known = this.reporters.get(report.daemonId);
    if (known !== undefined && report.sequence <= known.sequence) return;
    const { reportedAtMs, sequence } = report;
    this.reporters.set(report.daemonId, { sequence, reportedAtMs });
    const block = this.blockAt(Math.floor(reportedAtMs / this.timing.blockMs));
    for (const evidence of report.kinds) addTo(block, evidence);
  }

  /** Blocks that are due, oldest first; each is returned once. */
  take(nowMs: number): readonly (readonly KindEvidence[])[] {
    const { blockMs, lagMs } = this.timing;
    const dueIndex = Math.floor((nowMs - lagMs) / blockMs);
    const due = [...this.blocks.keys()]
      .filter(index => index < dueIndex)
      .sort((left, right) => left - right);
    return due.map(index => {
      const evidence = [...(this.blocks.get(index)?.values() ?? [])];
      this.blocks.delete(index);
      this.updateRates(evidence);
      return evidence;
    });
  }

  /** Requests of each kind a second, both versions together. */
  kindRates(): KindRates {
    return this.rates;
  }

  /** True where every daemon has reported at or after `sinceMs`. */
  isFresh(daemonIds: readonly string[], sinceMs: number): boolean {
    return daemonIds.every(id => {
      const reporter = this.reporters.get(id);
      return reporter !== undefined && reporter.reportedAtMs >= sinceMs;
    });
  }

  private blockAt(index: number): Block {
    let block = this.blocks.get(index);
    if (block === undefined) {
      block = new Map();
      this.blocks.set(index, block);
    }
    return block;
  }

  private updateRates(evidence: readonly KindEvidence[]): void {
    const counts = new Map(
      evidence.map(each => {
        const { newCount, oldCount } = each[Signal.Failure];
        return [each.kind, newCount + oldCount] as const;
      }),
    );
    for (const kind of new Set([...this.rates.keys(), ...counts.keys()])) {
      const count = counts.get(kind) ?? 0;
      const newest = (count * MS_PER_SECOND) / this.timing.blockMs;
      const past = this.rates.get(kind) ?? newest;
      this.rates.set(kind, past + RATE_WEIGHT * (newest - past));
    }
  }
}

function addTo(block: Block, evidence: KindEvidence): void {
  const sum = block.get(evidence.kind);
  block.set(
    evidence.kind,
    sum === undefined ? evidence : addEvidence(sum, evidence),
  );
}

/** Sum of two counts of one kind. */
function addEvidence(left: KindEvidence, right: KindEvidence): KindEvidence {
  return {
    kind: left.kind,
    [Signal.Failure]: addBlocks(left.failure, right.failure),
    [Signal.SlowFirstToken]: addBlocks(
      left.slowFirstToken,
      right.slowFirstToken,
    ),
    [Signal.SlowTokens]: addBlocks(left.slowTokens, right.slowTokens),
  };
}
