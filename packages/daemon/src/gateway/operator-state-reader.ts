import type {
  OperatorSource,
  OperatorState,
} from '@skylarkreach/core/forwarding';
import type { Clock } from '@skylarkreach/core/ports';

export interface OperatorStateReaderDependencies {
  readonly source: OperatorSource;
  readonly clock: Clock;
  /** Applies a state, or the changes after the last one. */
  readonly onState: (state: OperatorState) => void;
}

/**
 * Reads the operators' state in the store: the whole of it first, then the changes
 * after the last result. Its methods throw `PlatformError`.
 */
export class OperatorStateReader {
  /** Start time of the last successful read or watch; -Infinity before the first. */
  lastReadAtMs = -Infinity;
  private revision: number | undefined;
  private needsWhole = true;

  constructor(private readonly deps: OperatorStateReaderDependencies) {}

  /**
   * Returns the latest read that confirms the state, of which a peer's began at
   * `peerReadAtMs`. Where this daemon has to read the whole state, no peer's counts.
   */
  confirmedAtMs(peerReadAtMs: number): number {
    const { lastReadAtMs } = this;
    return this.needsWhole
      ? lastReadAtMs
      : Math.max(lastReadAtMs, peerReadAtMs);
  }

  /** Makes the next read one of the whole state. */
  requireWhole(): void {
    this.needsWhole = true;
  }

  /** Waits for changes, at most until the time. */
  async watch(untilMs: number): Promise<void> {
    const { clock, source } = this.deps;
    const readAtMs = clock.nowMs();
    this.apply(await source.watch(this.revision ?? 0, untilMs), readAtMs);
  }

  /** Reads the whole state where that is required, or the changes that the store has. */
  async read(deadlineAtMs: number, freshConnection: boolean): Promise<void> {
    const { clock, source } = this.deps;
    const readAtMs = clock.nowMs();
    const { needsWhole, revision } = this;
    if (needsWhole || revision === undefined) {
      const state = await source.readNow(deadlineAtMs, freshConnection);
      this.needsWhole = false;
      this.apply(state, readAtMs);
    } else {
      this.apply(
        await source.readChanges(revision, deadlineAtMs, freshConnection),
        readAtMs,
      );
    }
  }

  private apply(state: OperatorState, readAtMs: number): void {
    this.deps.onState(state);
    // Reads and watches run beside one another.
    this.revision = Math.max(this.revision ?? 0, state.revision);
    this.lastReadAtMs = Math.max(this.lastReadAtMs, readAtMs);
  }
}
