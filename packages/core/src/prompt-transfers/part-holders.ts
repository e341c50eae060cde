import type { PoolMember } from '../forwarding/index.js';
import { BoundedMap } from '../routing/index.js';

/** Engine to which this daemon has sent a shared part of a prompt. */
export interface PartHolder {
  readonly member: PoolMember;
  /** Requests with the part that run there without a first event. */
  awaitingFirst: number;
  /** Time of the last first event of a request with the part; -Infinity before the first one. */
  confirmedAtMs: number;
}

/** Number of shared parts whose holders are kept. */
const MAX_PARTS = 1_024; // bounds memory to about 1 MB; callers use some hundred shared prompts
/** Number of holders that are kept for a part. */
const MAX_HOLDERS = 8; // as many endpoints as all daemons prefer for a part
const NO_HOLDERS: readonly PartHolder[] = [];

/** Engines to which this daemon sent shared parts of prompts last, by group and part. */
export class PartHolders {
  private readonly byPart = new BoundedMap<string, PartHolder[]>(MAX_PARTS);

  /** Returns the holders of a part, the one to which it was sent last at the end. */
  of(group: string, partId: string): readonly PartHolder[] {
    return this.byPart.get(keyOf(group, partId)) ?? NO_HOLDERS;
  }

  /** Records that a request with the part is sent to an engine. */
  recordSent(member: PoolMember, partId: string): PartHolder {
    const key = keyOf(member.record.group, partId);
    const holders = this.byPart.get(key) ?? [];
    // Written again at each use, so that the least recently used part is evicted.
    this.byPart.set(key, holders);
    const index = holders.findIndex(each => each.member === member);
    const [known] = index < 0 ? [] : holders.splice(index, 1);
    const holder = known ?? {
      member,
      awaitingFirst: 0,
      confirmedAtMs: -Infinity,
    };
    holder.awaitingFirst += 1;
    holders.push(holder);
    if (holders.length > MAX_HOLDERS) holders.shift();
    return holder;
  }
}

function keyOf(group: string, partId: string): string {
  return `${group} ${partId}`;
}
