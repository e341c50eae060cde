/** Connection as far as the choice needs it. */
export interface Candidate {
  readonly address: string;
  /** How much may be lost with it, the least first; undefined if it must be kept. */
  readonly rank: number | undefined;
}

/** Time for which an order is used, as connections that are worth less may appear. */
const ORDER_MS = 100;
/** Time between two searches that find few candidates. */
const SEARCH_INTERVAL_MS = 10;
/** Least part of the connections that an order has to hold so that the next search may follow at once. */
const MIN_FOUND_PART = 1 / 8;

interface Ordered<Item> {
  readonly item: Item;
  readonly rank: number;
  /** Connections of its address that are left when all before it are closed. */
  readonly level: number;
}

/**
 * Chooses the connections that are closed for new ones: those with which the
 * least is lost, and of these the oldest of the address that has the most. Meant
 * for crowds that connect thousands of times a second: one search serves several
 * new connections, so that its cost for each does not grow with their number. A
 * connection that would be the better choice may be overlooked for 100 ms.
 */
export class VictimQueue<Item extends Candidate> {
  private order: Ordered<Item>[] = [];
  private orderedUntilMs = -Infinity;
  private nextSearchAtMs = -Infinity;

  /** `open` returns the open connections, oldest first. */
  constructor(private readonly open: () => readonly Item[]) {}

  /** Number of connections that the order holds. */
  get size(): number {
    return this.order.length;
  }

  /** Discards an order that is no longer used, with which closed connections would stay in memory. */
  discardOutdated(nowMs: number): void {
    if (nowMs >= this.orderedUntilMs) this.order = [];
  }

  /** Returns the connection to close for `added`; undefined if all others are to be kept. */
  take(added: Item, nowMs: number): Item | undefined {
    this.discardOutdated(nowMs);
    return this.takeOrdered(added) ?? this.search(added, nowMs);
  }

  private search(added: Item, nowMs: number): Item | undefined {
    if (nowMs < this.nextSearchAtMs) return undefined;
    const open = this.open();
    this.order = orderOf(open);
    this.orderedUntilMs = nowMs + ORDER_MS;
    const isFew = this.order.length < open.length * MIN_FOUND_PART;
    this.nextSearchAtMs = isFew ? nowMs + SEARCH_INTERVAL_MS : nowMs;
    return this.takeOrdered(added);
  }

  private takeOrdered(added: Item): Item | undefined {
    let next: Ordered<Item> | undefined;
    while ((next = this.order.pop()) !== undefined) {
      const { item, rank } = next;
      if (item === added || item.rank === undefined) continue;
      if (item.rank <= rank) return item;
    }
    return undefined;
  }
}

/** Returns the candidates, the first one to close last. */
function orderOf<Item extends Candidate>(
  open: readonly Item[],
): Ordered<Item>[] {
  const countByAddress = new Map<string, number>();
  for (const { address } of open)
    countByAddress.set(address, (countByAddress.get(address) ?? 0) + 1);
  const byRank = open
    .map(item => ({ item, rank: item.rank }))
    .filter((each): each is { item: Item; rank: number } => {
      return each.rank !== undefined;
    })
    .sort((left, right) => left.rank - right.rank);
  const ordered = byRank.map(({ item, rank }) => {
    const level = countByAddress.get(item.address) ?? 0;
    countByAddress.set(item.address, level - 1);
    return { item, rank, level };
  });
  // The sort is stable: of equal ones, the oldest comes first.
  ordered.sort(
    (left, right) => left.rank - right.rank || right.level - left.level,
  );
  return ordered.reverse();
}
