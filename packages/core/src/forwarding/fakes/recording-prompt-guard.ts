import type { PromptGuard, PromptPart } from '../index.js';

/** Fake guard that blocks the given parts and records what it is told. */
export class RecordingPromptGuard implements PromptGuard {
  readonly blockedIds = new Set<string>();
  /** Ids of the endpoints that crashed, in order. */
  readonly crashedIds: string[] = [];
  /** Number of completed requests. */
  completed = 0;

  blockedForMs(parts: readonly PromptPart[]): number | undefined {
    return parts.some(part => this.blockedIds.has(part.id))
      ? 60_000
      : undefined;
  }

  recordCrash(endpointId: string): void {
    this.crashedIds.push(endpointId);
  }

  recordCompleted(): void {
    this.completed += 1;
  }
}
