import type { KindEvidence } from './evidence.js';
import type { Finding, Signal } from './move.js';
import { SIGNALS } from './move.js';
import { addBlocks, EMPTY_BLOCK } from './sample-block.js';
import { TwoSampleTest } from './two-sample-test.js';

export interface VersionJudgeOptions {
  readonly kinds: readonly string[];
  /** Blocks over which a fault may begin. */
  readonly plannedBlocks: number;
  /** Probability of a false finding over all tests of this judge. */
  readonly falseFindingRate: number;
}

/** Tests of one signal: one a kind, and one of all kinds together. */
class SignalTests {
  private readonly overall: TwoSampleTest;
  private readonly byKind: Map<string, TwoSampleTest>;

  constructor(
    private readonly signal: Signal,
    private readonly logThreshold: number,
    { kinds, plannedBlocks }: VersionJudgeOptions,
  ) {
    this.overall = new TwoSampleTest(plannedBlocks);
    this.byKind = new Map(
      kinds.map(kind => [kind, new TwoSampleTest(plannedBlocks)]),
    );
  }

  /** Adds one block and returns a finding that passes the threshold. */
  add(evidence: readonly KindEvidence[]): Finding | undefined {
    let finding: Finding | undefined;
    for (const kindEvidence of evidence) {
      const { kind } = kindEvidence;
      const test = this.byKind.get(kind);
      const block = kindEvidence[this.signal];
      if (test === undefined) continue;
      // Kinds differ in rate and share: e-values multiply, counts are not pooled.
      this.overall.addLogFactors(test.add(block));
      if (test.reaches(this.logThreshold)) {
        finding ??= this.findingOf(test, kind);
      }
    }
    if (this.overall.reaches(this.logThreshold)) {
      finding ??= this.findingOf(this.overall, undefined);
    }
    return finding;
  }

  private findingOf(test: TwoSampleTest, kind: string | undefined): Finding {
    const tests = kind === undefined ? [...this.byKind.values()] : [test];
    const total = tests.map(each => each.total).reduce(addBlocks, EMPTY_BLOCK);
    const { logEvidence } = test;
    return { kind, signal: this.signal, logEvidence, ...total };
  }
}

/** Tests every kind and all kinds together, for each signal, against the old version. */
export class VersionJudge {
  private readonly tests: readonly SignalTests[];

  constructor(options: VersionJudgeOptions) {
    const { falseFindingRate, kinds } = options;
    const testCount = SIGNALS.length * (kinds.length + 1);
    const logThreshold = Math.log(testCount / falseFindingRate);
    this.tests = SIGNALS.map(
      signal => new SignalTests(signal, logThreshold, options),
    );
  }

  /** Adds one block and returns a finding that passes the threshold, if there is one. */
  add(evidence: readonly KindEvidence[]): Finding | undefined {
    const findings = this.tests.map(tests => tests.add(evidence));
    return findings.find(finding => finding !== undefined);
  }
}
