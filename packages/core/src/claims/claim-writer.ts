import { z } from 'zod';

import type {
  Address,
  Clock,
  KeyValueStore,
  PeerClient,
  PeerRegistry,
  Random,
} from '../ports/index.js';
import { definePeerMethod, PlatformError } from '../ports/index.js';
import type { ClaimCommand, CommandResult } from './claim-command.js';
import { claimCommandSchema, commandResultSchema } from './claim-command.js';
import type { JournalLimits, JournalState } from './journal-state.js';
import { ShardJournal } from './shard-journal.js';
import { ownerOfShard, shardOfKey } from './shard-owners.js';

const JOURNAL_KEY_PREFIX = 'claims/journal/';
const FORWARD_TIMEOUT_MS = 200;
/** Time for which an owner that did not answer is bypassed. */
const OWNER_SKIP_MS = 2_000;

/** Applies a command at the shard's owner, which batches the writes of its journal. */
export const applyClaimMethod = definePeerMethod(
  'claims.apply',
  z.object({
    shard: z.int().nonnegative(),
    command: claimCommandSchema,
    giveUpAtMs: z.number(),
  }),
  commandResultSchema,
);

/** Access to the other daemons, for forwarding commands to shard owners. */
export interface ClaimPeers {
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly selfAddress: () => Address | undefined;
  /** Peer addresses of the live daemons, including this one. */
  readonly liveDaemons: () => readonly Address[];
}

export interface ClaimWriterOptions extends JournalLimits {
  /** Number of journal values. Must be equal at all daemons and never change, since it determines the shard of each key. */
  readonly shards: number;
  /** Mean write rate of all journals together, where each is written by its owner only; it is divided equally among them. */
  readonly writesPerSecond: number;
}

/**
 * Routes commands to the journal of their shard. A command is forwarded to the
 * shard's owner, so that one daemon batches the writes, or is written directly
 * where the owner does not answer. Any daemon may write, because each write is a
 * compare-and-swap on the value's version.
 */
export class ClaimWriter {
  private readonly journals = new Map<number, ShardJournal>();
  private readonly ownerSkippedUntilMs = new Map<Address, number>();

  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: ClaimWriterOptions,
    private readonly peers?: ClaimPeers,
  ) {
    peers?.registry.handle(applyClaimMethod, params =>
      this.handleApply(params),
    );
  }

  /** Applies the command. Throws the errors of `ShardJournal.submit`. */
  async submit(
    command: ClaimCommand,
    giveUpAtMs: number,
  ): Promise<CommandResult> {
    const shard = shardOfKey(command.key, this.options.shards);
    const owner = this.remoteOwner(shard);
    if (owner !== undefined) {
      const result = await this.forward(owner, shard, command, giveUpAtMs);
      if (result !== undefined) return result;
    }
    return this.shardJournal(shard).submit(command, giveUpAtMs);
  }

  /** Reads the journal that holds the key. Throws `PlatformError`. */
  read(key: string): Promise<JournalState> {
    return this.shardJournal(shardOfKey(key, this.options.shards)).read();
  }

  /** Returns the number of writes and reads sent to the key-value service so far. */
  operationCounts(): { readonly writes: number; readonly reads: number } {
    let writes = 0;
    let reads = 0;
    for (const journal of this.journals.values()) {
      writes += journal.writeCount;
      reads += journal.readCount;
    }
    return { writes, reads };
  }

  private handleApply(
    params: z.output<typeof applyClaimMethod.params>,
  ): Promise<CommandResult> {
    const { command, giveUpAtMs } = params;
    const shard = shardOfKey(command.key, this.options.shards);
    return this.shardJournal(shard).submit(command, giveUpAtMs);
  }

  private remoteOwner(shard: number): Address | undefined {
    if (this.peers === undefined) return undefined;
    const owner = ownerOfShard(shard, this.peers.liveDaemons());
    if (owner === undefined || owner === this.peers.selfAddress()) {
      return undefined;
    }
    const skippedUntilMs = this.ownerSkippedUntilMs.get(owner) ?? 0;
    return this.clock.nowMs() < skippedUntilMs ? undefined : owner;
  }

  /** Returns the owner's result, or undefined where the call failed; the owner may still apply the command then. */
  private async forward(
    owner: Address,
    shard: number,
    command: ClaimCommand,
    giveUpAtMs: number,
  ): Promise<CommandResult | undefined> {
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
      this.ownerSkippedUntilMs.set(owner, this.clock.nowMs() + OWNER_SKIP_MS);
      return undefined;
    }
  }

  private shardJournal(shard: number): ShardJournal {
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
