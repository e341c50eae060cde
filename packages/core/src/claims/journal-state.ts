import type {
  ClaimCommand,
  ClaimKeyCommand,
  CommandResult,
  SettleCommand,
} from './claim-command.js';
import { CommandKind, CommandResultKind } from './claim-command.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import {
  decodeJournal,
  encodeJournal,
  entrySizeBytes,
} from './journal-entry.js';

/** Time past `keepUntilMs` for which an entry is kept, because clocks of daemons differ. */
const CLOCK_SKEW_ALLOWANCE_MS = 10_000;

export interface JournalLimits {
  /** Maximum size of a journal value, in bytes. */
  readonly maxJournalBytes: number;
  /** Maximum size of a stored response, in bytes; each claim without a final outcome reserves this much. */
  readonly maxResponseBytes: number;
}

/** State machine of the claims of one shard. */
export class JournalState {
  private changeCount = 0;

  private constructor(
    private readonly entries: Map<string, JournalEntry>,
    private readonly limits: JournalLimits,
    private allocatedBytes = 0,
  ) {}

  static empty(limits: JournalLimits): JournalState {
    return new JournalState(new Map(), limits);
  }

  /** Parses a journal value. Throws `JournalMalformedError`. */
  static decode(value: string, limits: JournalLimits): JournalState {
    const state = new JournalState(decodeJournal(value), limits);
    for (const [key, entry] of state.entries) {
      state.allocatedBytes += state.allocatedBytesOf(key, entry);
    }
    return state;
  }

  encode(): string {
    return encodeJournal(this.entries);
  }

  /** Returns a copy that can be changed without changing this state; its `hasChanged` is false. */
  copy(): JournalState {
    const entries = new Map(this.entries);
    return new JournalState(entries, this.limits, this.allocatedBytes);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Whether a command has changed an entry since the state was decoded or copied. */
  get hasChanged(): boolean {
    return this.changeCount > 0;
  }

  get(key: string): JournalEntry | undefined {
    return this.entries.get(key);
  }

  /** Deletes expired entries. Does not set `hasChanged`: expiry alone is no reason for a write. */
  dropExpired(nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (nowMs < entry.keepUntilMs + CLOCK_SKEW_ALLOWANCE_MS) continue;
      this.allocatedBytes -= this.allocatedBytesOf(key, entry);
      this.entries.delete(key);
    }
  }

  /** Applies a command; applying it again has no further effect. */
  apply(command: ClaimCommand, nowMs: number): CommandResult {
    return command.kind === CommandKind.Claim
      ? this.applyClaim(command, nowMs)
      : this.applySettle(command);
  }

  private applyClaim(command: ClaimKeyCommand, nowMs: number): CommandResult {
    const { entry, key } = command;
    const current = this.entries.get(key);
    if (current !== undefined && current.bodyHash !== entry.bodyHash) {
      return { kind: CommandResultKind.KeyReused };
    }
    if (current !== undefined && current.claimId !== entry.claimId) {
      if (current.state !== ClaimState.NotRun) {
        return { kind: CommandResultKind.Held, entry: current };
      }
    }
    if (nowMs >= entry.dispatchUntilMs)
      return { kind: CommandResultKind.Expired };
    if (current?.claimId === entry.claimId) {
      const isOpen = current.state === ClaimState.Claimed;
      return {
        kind: isOpen ? CommandResultKind.Granted : CommandResultKind.Expired,
      };
    }
    if (!this.hasCapacityFor(key, entry))
      return { kind: CommandResultKind.Full };
    this.setEntry(key, entry);
    return { kind: CommandResultKind.Granted };
  }

  private applySettle(command: SettleCommand): CommandResult {
    const { claimId, key, response, state } = command;
    const current = this.entries.get(key);
    if (current?.claimId !== claimId)
      return { kind: CommandResultKind.Ignored };
    if (current.state === state) return { kind: CommandResultKind.Settled };
    if (!isTransitionAllowed(current.state, state))
      return { kind: CommandResultKind.Ignored };
    this.setEntry(key, { ...current, state, response });
    return { kind: CommandResultKind.Settled };
  }

  private hasCapacityFor(key: string, entry: JournalEntry): boolean {
    const bytes = this.allocatedBytes + this.allocatedBytesOf(key, entry);
    return bytes <= this.limits.maxJournalBytes;
  }

  private setEntry(key: string, entry: JournalEntry): void {
    const current = this.entries.get(key);
    if (current !== undefined)
      this.allocatedBytes -= this.allocatedBytesOf(key, current);
    this.allocatedBytes += this.allocatedBytesOf(key, entry);
    this.entries.set(key, entry);
    this.changeCount += 1;
  }

  /** Returns the size of the entry, including the space reserved for the response of a run without a final outcome. */
  private allocatedBytesOf(key: string, entry: JournalEntry): number {
    const isEnded =
      entry.state === ClaimState.Ran || entry.state === ClaimState.NotRun;
    const responseReserveBytes = isEnded ? 0 : this.limits.maxResponseBytes;
    return entrySizeBytes(key, entry) + responseReserveBytes;
  }
}

/** Returns whether an outcome may replace the recorded state: `Unknown` may become `Ran`, other outcomes are final. */
function isTransitionAllowed(from: ClaimState, to: ClaimState): boolean {
  if (from === ClaimState.Unknown) return to === ClaimState.Ran;
  return from === ClaimState.Claimed || from === ClaimState.Dispatched;
}
