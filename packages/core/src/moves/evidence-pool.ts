import type { EvidenceReport, KindEvidence } from './evidence.js';
import { Signal } from './move.js';
import { addBlocks } from './sample-block.js';
import type { KindRates } from './share-plan.js';

/** Timing of the blocks into which reports are grouped. */
export interface BlockTiming {
  /** Length of one block in milliseconds. */
  readonly blockMs: number;
  /** Milliseconds between the end of a block and its evaluation, so that late reports are included. */
  readonly lagMs: number;
}

/** Weight of the newest block in the moving average of a kind's request rate. */
const RATE_SMOOTHING_FACTOR = 0.1;
const MS_PER_SECOND = 1_000;

interface ReporterState {
  readonly sequence: number;
  readonly reportedAtMs: number;
}

type EvidenceBlock = Map<string, KindEvidence>;

/**
 * Evidence reported by daemons, grouped into short blocks by report time.
 * Shares and failure rates change over time: a long block would attribute an
 * incident that hits both versions to the version whose share has grown.
 */
export class EvidencePool {
  private readonly reporters = new Map<string, ReporterState>();
  private readonly blocks = new Map<number, EvidenceBlock>();
  private readonly rates = new Map<string, number>();

  constructor(private readonly timing: BlockTiming) {}

  /** Adds a report; a duplicate or an older one of the same daemon is ignored. */
  add(report: EvidenceReport): void {
    const previous = this.reporters.get(report.daemonId);
    if (previous !== undefined && report.sequence <= previous.sequence) return;
    const { reportedAtMs, sequence } = report;
    this.reporters.set(report.daemonId, { sequence, reportedAtMs });
    const block = this.getOrCreateBlock(
      Math.floor(reportedAtMs / this.timing.blockMs),
    );
    for (const evidence of report.kinds) mergeInto(block, evidence);
  }

  /** Removes and returns the blocks that are due, oldest first. */
  drainDueBlocks(nowMs: number): readonly (readonly KindEvidence[])[] {
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

  /** Returns the requests per second of each kind, both versions together. */
  kindRates(): KindRates {
    return this.rates;
  }

  /** Returns whether every daemon has reported at or after `sinceMs`. */
  haveAllReportedSince(daemonIds: readonly string[], sinceMs: number): boolean {
    return daemonIds.every(id => {
      const reporter = this.reporters.get(id);
      return reporter !== undefined && reporter.reportedAtMs >= sinceMs;
    });
  }

  private getOrCreateBlock(index: number): EvidenceBlock {
    let block = this.blocks.get(index);
    if (block === undefined) {
      block = new Map();
      this.blocks.set(index, block);
    }
    return block;
  }

  private updateRates(evidence: readonly KindEvidence[]): void {
    const counts = new Map(
      evidence.map(kindEvidence => {
        const { newCount, oldCount } = kindEvidence[Signal.Failure];
        return [kindEvidence.kind, newCount + oldCount] as const;
      }),
    );
    for (const kind of new Set([...this.rates.keys(), ...counts.keys()])) {
      const count = counts.get(kind) ?? 0;
      const newestRate = (count * MS_PER_SECOND) / this.timing.blockMs;
      const previousRate = this.rates.get(kind) ?? newestRate;
      this.rates.set(
        kind,
        previousRate + RATE_SMOOTHING_FACTOR * (newestRate - previousRate),
      );
    }
  }
}

function mergeInto(block: EvidenceBlock, evidence: KindEvidence): void {
  const sum = block.get(evidence.kind);
  block.set(
    evidence.kind,
    sum === undefined ? evidence : addEvidence(sum, evidence),
  );
}

/** Returns the sum of two counts of one kind. */
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
