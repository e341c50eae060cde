import type { MemberUpdate } from './membership.js';
import { MAX_UPDATES } from './messages.js';

/** Sends of one update, times the logarithm of the number of members. */
const SENDS_PER_LOG = 3;

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sends: number;
}

/** News that goes out with the next messages; the least sent goes first. */
export class UpdateQueue {
  private readonly queued = new Map<string, QueuedUpdate>();

  /** Adds news; it replaces older news about the same member. */
  add(update: MemberUpdate): void {
    this.queued.set(update.id, { update, sends: 0 });
  }

  /** Takes the news for one message among `members` daemons. */
  take(members: number): MemberUpdate[] {
    const limit = Math.ceil(SENDS_PER_LOG * Math.log2(members + 2));
    const chosen = [...this.queued.values()]
      .sort((left, right) => left.sends - right.sends)
      .slice(0, MAX_UPDATES);
    for (const each of chosen) {
      each.sends += 1;
      if (each.sends >= limit) this.queued.delete(each.update.id);
    }
    return chosen.map(each => each.update);
  }

  get size(): number {
    return this.queued.size;
  }
}
