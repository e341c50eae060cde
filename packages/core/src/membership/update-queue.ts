import type { MemberUpdate } from './membership.js';
import { MAX_UPDATES } from './messages.js';

/** Sends of one update, times the logarithm of the number of members. */
const SENDS_PER_LOG = 2;
/** Most bytes of news in one message, as JSON. */
const MAX_UPDATES_BYTES = 200;

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly bytes: number;
  sends: number;
}

/** News that goes out with the next messages; the least sent goes first. */
export class UpdateQueue {
  private readonly queued = new Map<string, QueuedUpdate>();

  /** Adds news; it replaces older news about the same member. */
  add(update: MemberUpdate): void {
    const bytes = Buffer.byteLength(JSON.stringify(update));
    this.queued.set(update.id, { update, bytes, sends: 0 });
  }

  /** Takes the news for one message among `members` daemons. */
  take(members: number): MemberUpdate[] {
    const limit = Math.ceil(SENDS_PER_LOG * Math.log2(members + 2));
    const chosen = this.leastSent();
    for (const each of chosen) {
      each.sends += 1;
      if (each.sends >= limit) this.queued.delete(each.update.id);
    }
    return chosen.map(each => each.update);
  }

  /** The least sent news that fits one message. */
  private leastSent(): readonly QueuedUpdate[] {
    const ordered = [...this.queued.values()].sort(
      (left, right) => left.sends - right.sends,
    );
    const chosen: QueuedUpdate[] = [];
    let bytes = 0;
    for (const each of ordered.slice(0, MAX_UPDATES)) {
      bytes += each.bytes;
      if (chosen.length > 0 && bytes > MAX_UPDATES_BYTES) break;
      chosen.push(each);
    }
    return chosen;
  }
}
