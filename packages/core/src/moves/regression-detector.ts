import type { KindEvidence } from './evidence.js';
import type { Finding, Signal } from './move.js';
import { SIGNALS } from './move.js';
import { addBlocks, EMPTY_BLOCK } from './sample-block.js';
import { TwoSampleTest } from './two-sample-test.js';

export interface RegressionDetectorOptions {
  readonly kinds: readonly string[];
  /** Number of blocks within which a regression may start. */
  readonly plannedBlocks: number;
  /** Probability of a false finding over all tests of this detector. */
  readonly falseFindingRate: number;
}

/** Tests of one signal: one per kind, and one over all kinds combined. */
class SignalTests {
  private readonly overall: TwoSampleTest;
  private readonly byKind: Map<string, TwoSampleTest>;

  constructor(
    private readonly signal: Signal,
    private readonly logThreshold: number,
    { kinds, plannedBlocks }: RegressionDetectorOptions,
  ) {
    this.overall = new TwoSampleTest(plannedBlocks);
    this.byKind = new Map(
      kinds.map(kind => [kind, new TwoSampleTest(plannedBlocks)]),
    );
  }

  /** Adds one block and returns the first finding that reaches the threshold, if any. */
  add(evidence: readonly KindEvidence[]): Finding | undefined {
    let finding: Finding | undefined;
    for (const kindEvidence of evidence) {
      const { kind } = kindEvidence;
      const test = this.byKind.get(kind);
      const block = kindEvidence[this.signal];
      if (test === undefined) continue;
      // Kinds differ in rate and share, so their e-values are multiplied instead of pooling the counts.
      this.overall.addLogFactors(test.add(block));
      if (test.reaches(this.logThreshold)) {
        finding ??= this.createFinding(test, kind);
      }
    }
    if (this.overall.reaches(this.logThreshold)) {
      finding ??= this.createFinding(this.overall, undefined);
    }
    return finding;
  }

  private createFinding(
    test: TwoSampleTest,
    kind: string | undefined,
  ): Finding {
    const tests = kind === undefined ? [...this.byKind.values()] : [test];
    const total = tests
      .map(kindTest => kindTest.total)
      .reduce(addBlocks, EMPTY_BLOCK);
    const { logEvidence } = test;
    return { kind, signal: this.signal, logEvidence, ...total };
  }
}

/**
 * Sequential comparison of the new version with the old one, for each signal:
 * per kind and over all kinds combined. The false finding rate is divided by
 * the number of tests (Bonferroni correction).
 */
export class RegressionDetector {
  private readonly tests: readonly SignalTests[];

  constructor(options: RegressionDetectorOptions) {
    const { falseFindingRate, kinds } = options;
    const testCount = SIGNALS.length * (kinds.length + 1);
    const logThreshold = Math.log(testCount / falseFindingRate);
    this.tests = SIGNALS.map(
      signal => new SignalTests(signal, logThreshold, options),
    );
  }

  /** Adds one block and returns a finding that reaches the threshold, if any. */
  add(evidence: readonly KindEvidence[]): Finding | undefined {
    const findings = this.tests.map(tests => tests.add(evidence));
    return findings.find(finding => finding !== undefined);
  }
}
