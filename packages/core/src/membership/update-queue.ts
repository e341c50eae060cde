import type { MemberUpdate } from './membership.js';
import { MAX_UPDATES_PER_MESSAGE } from './messages.js';

/**
 * Transmissions of one update, as a multiple of the binary logarithm of the
 * number of members.
 */
const RETRANSMIT_MULTIPLIER = 2;
/**
 * Maximum JSON bytes of the updates in one message. A first update that is
 * larger is sent alone.
 */
const MAX_UPDATES_BYTES = 200;

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sizeBytes: number;
  sendCount: number;
}

/** Queue of member updates to piggyback on outgoing messages, the least transmitted first. */
export class UpdateQueue {
  private readonly queuedByMember = new Map<string, QueuedUpdate>();

  /** Adds an update, replacing a queued update about the same member. */
  add(update: MemberUpdate): void {
    const sizeBytes = Buffer.byteLength(JSON.stringify(update));
    this.queuedByMember.set(update.id, {
      update,
      sizeBytes,
      sendCount: 0,
    });
  }

  /**
   * Returns the updates for one message, with `first` before the queued ones of
   * other members. Updates that reached their transmission limit are removed.
   */
  nextUpdates(memberCount: number, first?: MemberUpdate): MemberUpdate[] {
    const limit = Math.ceil(RETRANSMIT_MULTIPLIER * Math.log2(memberCount + 2));
    const selected = this.selectLeastSent(first);
    for (const queued of selected) {
      queued.sendCount += 1;
      if (queued.sendCount >= limit)
        this.queuedByMember.delete(queued.update.id);
    }
    const updates = selected.map(queued => queued.update);
    return first === undefined ? updates : [first, ...updates];
  }

  /** Returns the least transmitted updates that fit into one message. */
  private selectLeastSent(
    first: MemberUpdate | undefined,
  ): readonly QueuedUpdate[] {
    const ordered = [...this.queuedByMember.values()]
      .filter(({ update }) => update.id !== first?.id)
      .sort((left, right) => left.sendCount - right.sendCount);
    const maxUpdates = MAX_UPDATES_PER_MESSAGE - (first === undefined ? 0 : 1);
    const selected: QueuedUpdate[] = [];
    let totalBytes = 0;
    for (const queued of ordered.slice(0, maxUpdates)) {
      totalBytes += queued.sizeBytes;
      if (selected.length > 0 && totalBytes > MAX_UPDATES_BYTES) break;
      selected.push(queued);
    }
    return selected;
  }
}
