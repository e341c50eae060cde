import type { KindEvidence } from './evidence.js';
import type { Finding, Signal } from './move.js';
import { SIGNALS } from './move.js';
import { addBlocks, EMPTY_BLOCK } from './sample-block.js';
import { TwoSampleTest } from './two-sample-test.js';

export interface RegressionDetectorOptions {
  /** Returns the kinds that are known now; they may change while the versions are compared. */
  readonly kinds: () => readonly string[];
  /** Number of blocks within which a regression may start. */
  readonly plannedBlocks: number;
  /** Probability of a false finding over all tests of this detector. */
  readonly falseFindingRate: number;
}

/** Tests of one signal: one per kind, from its first evidence on, and one over all kinds combined. */
class SignalTests {
  private readonly overall: TwoSampleTest;
  private readonly byKind = new Map<string, TwoSampleTest>();

  constructor(
    private readonly signal: Signal,
    private readonly plannedBlocks: number,
  ) {
    this.overall = new TwoSampleTest(plannedBlocks);
  }

  /** Adds one block and returns the first finding that reaches the threshold, if any. */
  add(
    evidence: readonly KindEvidence[],
    logThreshold: number,
  ): Finding | undefined {
    let finding: Finding | undefined;
    for (const kindEvidence of evidence) {
      const { kind } = kindEvidence;
      const test = this.testOf(kind);
      const block = kindEvidence[this.signal];
      // Kinds differ in rate and share, so their e-values are multiplied instead of pooling the counts.
      this.overall.addLogFactors(test.add(block));
      if (test.reaches(logThreshold)) {
        finding ??= this.createFinding(test, kind);
      }
    }
    if (this.overall.reaches(logThreshold)) {
      finding ??= this.createFinding(this.overall, undefined);
    }
    return finding;
  }

  private testOf(kind: string): TwoSampleTest {
    let test = this.byKind.get(kind);
    if (test === undefined) {
      test = new TwoSampleTest(this.plannedBlocks);
      this.byKind.set(kind, test);
    }
    return test;
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
 * the number of tests (Bonferroni correction), which counts each kind that is
 * known or has had evidence; more of them make all tests stricter from then on.
 */
export class RegressionDetector {
  private readonly tests: readonly SignalTests[];
  private readonly kindsWithEvidence = new Set<string>();

  constructor(private readonly options: RegressionDetectorOptions) {
    this.tests = SIGNALS.map(
      signal => new SignalTests(signal, options.plannedBlocks),
    );
  }

  /** Adds one block and returns a finding that reaches the threshold, if any. */
  add(evidence: readonly KindEvidence[]): Finding | undefined {
    for (const { kind } of evidence) this.kindsWithEvidence.add(kind);
    const logThreshold = this.logThreshold();
    const findings = this.tests.map(tests => tests.add(evidence, logThreshold));
    return findings.find(finding => finding !== undefined);
  }

  private logThreshold(): number {
    const { falseFindingRate, kinds } = this.options;
    const tested = new Set([...kinds(), ...this.kindsWithEvidence]);
    const testCount = SIGNALS.length * (tested.size + 1);
    return Math.log(testCount / falseFindingRate);
  }
}
