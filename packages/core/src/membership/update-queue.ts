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
   * Returns the updates for one message. Updates that reached their
   * transmission limit are removed.
   */
  nextUpdates(memberCount: number): MemberUpdate[] {
    const limit = Math.ceil(RETRANSMIT_MULTIPLIER * Math.log2(memberCount + 2));
    const selected = this.selectLeastSent();
    for (const queued of selected) {
      queued.sendCount += 1;
      if (queued.sendCount >= limit)
        this.queuedByMember.delete(queued.update.id);
    }
    return selected.map(queued => queued.update);
  }

  /** Returns the least transmitted updates that fit into one message. */
  private selectLeastSent(): readonly QueuedUpdate[] {
    const ordered = [...this.queuedByMember.values()].sort(
      (left, right) => left.sendCount - right.sendCount,
    );
    const selected: QueuedUpdate[] = [];
    let totalBytes = 0;
    for (const queued of ordered.slice(0, MAX_UPDATES_PER_MESSAGE)) {
      totalBytes += queued.sizeBytes;
      if (selected.length > 0 && totalBytes > MAX_UPDATES_BYTES) break;
      selected.push(queued);
    }
    return selected;
  }
}
