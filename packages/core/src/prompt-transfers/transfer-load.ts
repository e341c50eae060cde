import type { PoolMember, PromptTransfer } from '../forwarding/index.js';

/** What this daemon knows of the transfers of one engine. */
interface EngineTransfers {
  /** Transfers from the engine whose requests run without a first event. */
  sending: number;
  /** The same to the engine. */
  receiving: number;
  /** Time at which all known transfers of the engine are expected to have ended. */
  busyUntilMs: number;
  /** Time until which the engine counts as silent. */
  silentUntilMs: number;
}

const NO_TRANSFERS: Readonly<EngineTransfers> = {
  sending: 0,
  receiving: 0,
  busyUntilMs: -Infinity,
  silentUntilMs: -Infinity,
};
/** Time for which an engine that fell silent is no source. */
const SILENCE_MS = 2_000; // silences of sound endpoints last about a second

/** Transfers that this daemon has requested, by engine; those of one engine run one after another. */
export class TransferLoad {
  private readonly byMember = new WeakMap<PoolMember, EngineTransfers>();

  /** Returns the number of transfers from an engine that are in progress. */
  sendingAt(member: PoolMember): number {
    return this.at(member).sending;
  }

  busyUntilMs(member: PoolMember): number {
    return this.at(member).busyUntilMs;
  }

  isSilent(member: PoolMember, nowMs: number): boolean {
    return nowMs < this.at(member).silentUntilMs;
  }

  recordSilence(member: PoolMember, nowMs: number): void {
    this.change(member).silentUntilMs = nowMs + SILENCE_MS;
  }

  /** Records a transfer; the result is to be called once it has ended. */
  start(
    member: PoolMember,
    { durationMs, source, waitMs }: PromptTransfer,
    nowMs: number,
  ): () => void {
    const from = this.change(source);
    const to = this.change(member);
    from.sending += 1;
    to.receiving += 1;
    from.busyUntilMs = nowMs + waitMs + durationMs;
    to.busyUntilMs = from.busyUntilMs;
    return () => {
      from.sending -= 1;
      to.receiving -= 1;
      for (const each of [from, to])
        if (each.sending + each.receiving === 0) each.busyUntilMs = -Infinity;
    };
  }

  private at(member: PoolMember): Readonly<EngineTransfers> {
    return this.byMember.get(member) ?? NO_TRANSFERS;
  }

  private change(member: PoolMember): EngineTransfers {
    const known = this.byMember.get(member);
    if (known !== undefined) return known;
    const created = { ...NO_TRANSFERS };
    this.byMember.set(member, created);
    return created;
  }
}
