import type { CompletedRequest, CrashGuard, EndpointCrash } from '../index.js';

/** Fake guard that blocks the given ids and records what it is told. */
export class RecordingCrashGuard implements CrashGuard {
  readonly blockedIds = new Set<string>();
  /** Blocks every request. */
  blockAll = false;
  /** Number of crashes after which every request is blocked. */
  blockAfterCrashes = Infinity;
  readonly crashes: EndpointCrash[] = [];
  /** Number of completed requests. */
  completed = 0;
  readonly completedAt: (CompletedRequest | undefined)[] = [];

  blockedForMs(suspectIds: readonly string[]): number | undefined {
    const isBlocked =
      this.blockAll ||
      this.crashes.length >= this.blockAfterCrashes ||
      suspectIds.some(id => this.blockedIds.has(id));
    return isBlocked ? 60_000 : undefined;
  }

  recordCrash(crash: EndpointCrash): void {
    this.crashes.push(crash);
  }

  recordCompleted(_: readonly string[], completed?: CompletedRequest): void {
    this.completedAt.push(completed);
    this.completed += 1;
  }
}
