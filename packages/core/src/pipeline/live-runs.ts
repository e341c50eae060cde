import type { RequestIdentity, RequestRecord } from '../streams/index.js';
import { requestKeyOf } from '../streams/index.js';
import type { AnswerRun } from './answer-run.js';

/** Set of the runs in progress in this process. */
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

  /** Returns the records of all runs that can be handed off to another daemon. */
  allRecords(): readonly RequestRecord[] {
    return [...this.runs]
      .map(run => run.record())
      .filter(record => record !== undefined);
  }

  /** Returns the record with the most tokens among the runs of a request. */
  find(name: RequestIdentity): RequestRecord | undefined {
    return this.findRuns(name)
      .map(run => run.record())
      .filter(record => record !== undefined)
      .sort((left, right) => right.tokens - left.tokens)[0];
  }

  /** Cancels all runs of a request, including their streams on the engines. Returns false if there are none. */
  cancel(name: RequestIdentity): boolean {
    const runs = this.findRuns(name);
    for (const run of runs) run.cancel();
    return runs.length > 0;
  }

  private findRuns(name: RequestIdentity): AnswerRun[] {
    const key = requestKeyOf(name);
    return [...this.runs].filter(run => requestKeyOf(run.name) === key);
  }
}
