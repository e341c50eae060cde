import { z } from 'zod';

import type {
  Address,
  Clock,
  KeyValue,
  Peer,
  PeerRegistry,
  Random,
} from '../ports/index.js';
import { definePeerMethod, PlatformError } from '../ports/index.js';
import type { ClaimCommand, ClaimVerdict } from './claim-command.js';
import { claimCommandSchema, claimVerdictSchema } from './claim-command.js';
import { ownerOf, shardOf } from './claim-owners.js';
import type { JournalLimits, JournalState } from './journal-state.js';
import { ShardJournal } from './shard-journal.js';

const JOURNAL_KEY_PREFIX = 'claims/journal/';
const FORWARD_TIMEOUT_MS = 200;
/** Time for which an owner that did not answer is passed over. */
const OWNER_PAUSE_MS = 2_000;

/** Applies a command at the daemon that writes the shard's batches. */
export const applyClaimMethod = definePeerMethod(
  'claims.apply',
  z.object({
    shard: z.int().nonnegative(),
    command: claimCommandSchema,
    giveUpAtMs: z.number(),
  }),
  claimVerdictSchema,
);

/** The other daemons, as far as claims need them. */
export interface ClaimPeers {
  readonly peer: Peer;
  readonly registry: PeerRegistry;
  readonly selfAddress: () => Address | undefined;
  /** Peers' addresses of the live daemons, this one included. */
  readonly liveDaemons: () => readonly Address[];
}

export interface ClaimWriterOptions extends JournalLimits {
  /** Number of journal values; the same at every daemon, for good. */
  readonly shards: number;
  /** Mean rate of the writes of all journals together, each written by its owner. */
  readonly writesPerSecond: number;
}

/**
 * Brings commands to their shard's journal: through the shard's owner, so that
 * its batches grow, or by a write of its own where the owner does not answer.
 * Any daemon may write; the value's version is the guard.
 */
export class ClaimWriter {
  private readonly journals = new Map<number, ShardJournal>();
  private readonly skippedUntilMs = new Map<Address, number>();

  constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: ClaimWriterOptions,
    private readonly peers?: ClaimPeers,
  ) {
    peers?.registry.handle(applyClaimMethod, params => this.applyHere(params));
  }

  /** Applies the command, with the errors of `ShardJournal.submit`. */
  async submit(
    command: ClaimCommand,
    giveUpAtMs: number,
  ): Promise<ClaimVerdict> {
    const shard = shardOf(command.key, this.options.shards);
    const owner = this.otherOwner(shard);
    if (owner !== undefined) {
      const verdict = await this.forward(owner, shard, command, giveUpAtMs);
      if (verdict !== undefined) return verdict;
    }
    return this.journal(shard).submit(command, giveUpAtMs);
  }

  /** Reads the journal that holds the key. Throws `PlatformError`. */
  read(key: string): Promise<JournalState> {
    return this.journal(shardOf(key, this.options.shards)).read();
  }

  /** Writes and reads sent to the key-value service so far. */
  counts(): { readonly writes: number; readonly reads: number } {
    let writes = 0;
    let reads = 0;
    for (const journal of this.journals.values()) {
      writes += journal.writes;
      reads += journal.reads;
    }
    return { writes, reads };
  }

  private applyHere(
    params: z.output<typeof applyClaimMethod.params>,
  ): Promise<ClaimVerdict> {
    const { command, giveUpAtMs } = params;
    const shard = shardOf(command.key, this.options.shards);
    return this.journal(shard).submit(command, giveUpAtMs);
  }

  private otherOwner(shard: number): Address | undefined {
    if (this.peers === undefined) return undefined;
    const owner = ownerOf(shard, this.peers.liveDaemons());
    if (owner === undefined || owner === this.peers.selfAddress()) {
      return undefined;
    }
    const skippedUntilMs = this.skippedUntilMs.get(owner) ?? 0;
    return this.clock.nowMs() < skippedUntilMs ? undefined : owner;
  }

  /** The owner's verdict, or undefined where it gave none; it may still apply the command. */
  private async forward(
    owner: Address,
    shard: number,
    command: ClaimCommand,
    giveUpAtMs: number,
  ): Promise<ClaimVerdict | undefined> {
    const nowMs = this.clock.nowMs();
    const deadlineAtMs = Math.min(giveUpAtMs, nowMs + FORWARD_TIMEOUT_MS);
    const params = { shard, command, giveUpAtMs };
    try {
      return await this.peers?.peer.call(
        owner,
        applyClaimMethod,
        params,
        deadlineAtMs,
      );
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.skippedUntilMs.set(owner, this.clock.nowMs() + OWNER_PAUSE_MS);
      return undefined;
    }
  }

  private journal(shard: number): ShardJournal {
    let journal = this.journals.get(shard);
    if (journal === undefined) {
      const key = `${JOURNAL_KEY_PREFIX}${shard}`;
      const { keyValue, clock, random, options } = this;
      const writesPerSecond = options.writesPerSecond / options.shards;
      const shardOptions = { ...options, key, writesPerSecond };
      journal = new ShardJournal(keyValue, clock, random, shardOptions);
      this.journals.set(shard, journal);
    }
    return journal;
  }
}
