import type { RequestIdentity, RequestRecord } from '../streams/index.js';
import { requestKeyOf } from '../streams/index.js';
import type { AnswerRun } from './answer-run.js';

/** Answers that this process follows at present. */
export class LiveRuns {
  private readonly runs = new Set<AnswerRun>();

  get size(): number {
    return this.runs.size;
  }

  add(run: AnswerRun): void {
    this.runs.add(run);
  }

  delete(run: AnswerRun): void {
    this.runs.delete(run);
  }

  /** Records of every run that can be handed off. */
  allRecords(): readonly RequestRecord[] {
    return [...this.runs]
      .map(run => run.record())
      .filter(record => record !== undefined);
  }

  /** The furthest record of a request that runs here. */
  find(name: RequestIdentity): RequestRecord | undefined {
    return this.runsOf(name)
      .map(run => run.record())
      .filter(record => record !== undefined)
      .sort((left, right) => right.tokens - left.tokens)[0];
  }

  /** Ends every run of a request and stops its engine; false where none runs here. */
  cancel(name: RequestIdentity): boolean {
    const runs = this.runsOf(name);
    for (const run of runs) run.cancel();
    return runs.length > 0;
  }

  private runsOf(name: RequestIdentity): AnswerRun[] {
    const key = requestKeyOf(name);
    return [...this.runs].filter(run => requestKeyOf(run.name) === key);
  }
}
