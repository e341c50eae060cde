import type {
  ClaimCommand,
  ClaimKeyCommand,
  ClaimVerdict,
  SettleCommand,
} from './claim-command.js';
import { CommandKind, VerdictKind } from './claim-command.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { decodeJournal, encodeJournal, entryBytes } from './journal-entry.js';

/** Time past `keepUntilMs` for which an entry stays, against clocks that differ. */
const CLOCK_SKEW_MS = 10_000;

export interface JournalLimits {
  /** Largest journal value, in bytes. */
  readonly maxJournalBytes: number;
  /** Largest response kept, in bytes; each open claim reserves as much. */
  readonly maxResponseBytes: number;
}

/** The claims of one shard, and the rules by which commands change them. */
export class JournalState {
  private changes = 0;

  private constructor(
    private readonly entries: Map<string, JournalEntry>,
    private readonly limits: JournalLimits,
    private usedBytes = 0,
  ) {}

  static empty(limits: JournalLimits): JournalState {
    return new JournalState(new Map(), limits);
  }

  /** Reads a journal value. Throws `JournalMalformedError`. */
  static decode(value: string, limits: JournalLimits): JournalState {
    const state = new JournalState(decodeJournal(value), limits);
    for (const [key, entry] of state.entries) {
      state.usedBytes += state.bytesOf(key, entry);
    }
    return state;
  }

  encode(): string {
    return encodeJournal(this.entries);
  }

  /** A copy that can be changed without changing this one. */
  copy(): JournalState {
    const entries = new Map(this.entries);
    return new JournalState(entries, this.limits, this.usedBytes);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Whether a command has changed an entry since the state was read or copied. */
  get hasChanged(): boolean {
    return this.changes > 0;
  }

  get(key: string): JournalEntry | undefined {
    return this.entries.get(key);
  }

  /** Drops the entries whose time has passed; alone it is no reason to write. */
  dropOld(nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (nowMs < entry.keepUntilMs + CLOCK_SKEW_MS) continue;
      this.usedBytes -= this.bytesOf(key, entry);
      this.entries.delete(key);
    }
  }

  apply(command: ClaimCommand, nowMs: number): ClaimVerdict {
    return command.kind === CommandKind.Claim
      ? this.claim(command, nowMs)
      : this.settle(command);
  }

  private claim(command: ClaimKeyCommand, nowMs: number): ClaimVerdict {
    const { entry, key } = command;
    const current = this.entries.get(key);
    if (current !== undefined && current.bodyHash !== entry.bodyHash) {
      return { kind: VerdictKind.KeyReused };
    }
    if (current !== undefined && current.claimId !== entry.claimId) {
      if (current.state !== ClaimState.NotRun) {
        return { kind: VerdictKind.Held, entry: current };
      }
    }
    if (nowMs >= entry.dispatchUntilMs) return { kind: VerdictKind.Expired };
    if (current?.claimId === entry.claimId) {
      const isOpen = current.state === ClaimState.Claimed;
      return { kind: isOpen ? VerdictKind.Granted : VerdictKind.Expired };
    }
    if (!this.hasRoomFor(key, entry)) return { kind: VerdictKind.Full };
    this.set(key, entry);
    return { kind: VerdictKind.Granted };
  }

  private settle(command: SettleCommand): ClaimVerdict {
    const { claimId, key, response, state } = command;
    const current = this.entries.get(key);
    if (current?.claimId !== claimId) return { kind: VerdictKind.Ignored };
    if (current.state === state) return { kind: VerdictKind.Settled };
    if (!isAllowed(current.state, state)) return { kind: VerdictKind.Ignored };
    this.set(key, { ...current, state, response });
    return { kind: VerdictKind.Settled };
  }

  private hasRoomFor(key: string, entry: JournalEntry): boolean {
    const bytes = this.usedBytes + this.bytesOf(key, entry);
    return bytes <= this.limits.maxJournalBytes;
  }

  private set(key: string, entry: JournalEntry): void {
    const current = this.entries.get(key);
    if (current !== undefined) this.usedBytes -= this.bytesOf(key, current);
    this.usedBytes += this.bytesOf(key, entry);
    this.entries.set(key, entry);
    this.changes += 1;
  }

  /** Bytes of the entry, with room for the response of a run that has none yet. */
  private bytesOf(key: string, entry: JournalEntry): number {
    const isEnded =
      entry.state === ClaimState.Ran || entry.state === ClaimState.NotRun;
    const reservedBytes = isEnded ? 0 : this.limits.maxResponseBytes;
    return entryBytes(key, entry) + reservedBytes;
  }
}

/** An outcome that was unknown can turn out to have run; every other end is final. */
function isAllowed(from: ClaimState, to: ClaimState): boolean {
  if (from === ClaimState.Unknown) return to === ClaimState.Ran;
  return from === ClaimState.Claimed || from === ClaimState.Dispatched;
}
