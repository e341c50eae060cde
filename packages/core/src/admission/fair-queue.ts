import type { Workspace } from '../ports/index.js';

/** What a queue needs to know of an item. */
export interface QueuedItem {
  readonly workspace: Workspace;
  /** Work of the item in tokens. */
  readonly cost: number;
  /** Share of its workspace against others, above 0. */
  readonly weight: number;
}

interface Entry<Item> {
  readonly item: Item;
  readonly startTag: number;
}

interface WorkspaceQueue<Item> {
  entries: Entry<Item>[];
  lastFinishTag: number;
}

/**
 * Start-time fair queue (Goyal, Vin and Cheng, 1996): each workspace gets work
 * done in proportion to its weight, however much it sends.
 */
export class FairQueue<Item extends QueuedItem> {
  private readonly queues = new Map<Workspace, WorkspaceQueue<Item>>();
  private virtualTime = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  sizeOf(workspace: Workspace): number {
    return this.queues.get(workspace)?.entries.length ?? 0;
  }

  /**
   * Items that are taken before the workspace's item at `position`, at equal
   * cost and weight; a new item where no position is given.
   */
  aheadOf(workspace: Workspace, position = this.sizeOf(workspace)): number {
    let ahead = position;
    for (const [other, queue] of this.queues) {
      if (other === workspace) continue;
      ahead += Math.min(queue.entries.length, position + 1);
    }
    return ahead;
  }

  /** Takes the items that the test names, given how many are ahead of each. */
  removeWhere(test: (item: Item, ahead: number) => boolean): readonly Item[] {
    const removed: Item[] = [];
    for (const [workspace, queue] of this.queues) {
      queue.entries.forEach(({ item }, position) => {
        const ahead = this.aheadOf(workspace, position);
        if (test(item, ahead)) removed.push(item);
      });
    }
    for (const item of removed) this.remove(item);
    return removed;
  }

  push(item: Item): void {
    const queue = this.queueOf(item.workspace);
    const startTag = Math.max(this.virtualTime, queue.lastFinishTag);
    queue.lastFinishTag = startTag + item.cost / item.weight;
    queue.entries.push({ item, startTag });
    this.count += 1;
  }

  /** Takes the item with the lowest start tag. */
  pop(): Item | undefined {
    let first: WorkspaceQueue<Item> | undefined;
    for (const queue of this.queues.values()) {
      if (startTagOf(queue) < startTagOf(first)) first = queue;
    }
    const entry = first?.entries.shift();
    if (entry === undefined) return undefined;
    this.virtualTime = entry.startTag;
    this.count -= 1;
    this.dropIdle();
    return entry.item;
  }

  remove(item: Item): void {
    const queue = this.queues.get(item.workspace);
    if (queue === undefined) return;
    const left = queue.entries.filter(entry => entry.item !== item);
    this.count -= queue.entries.length - left.length;
    queue.entries = left;
    this.dropIdle();
  }

  /** Takes every item. */
  drain(): readonly Item[] {
    const items = [...this.queues.values()].flatMap(queue =>
      queue.entries.map(entry => entry.item),
    );
    this.queues.clear();
    this.count = 0;
    return items;
  }

  private queueOf(workspace: Workspace): WorkspaceQueue<Item> {
    let queue = this.queues.get(workspace);
    if (queue === undefined) {
      queue = { entries: [], lastFinishTag: 0 };
      this.queues.set(workspace, queue);
    }
    return queue;
  }

  /** Forgets workspaces that wait for nothing and owe nothing. */
  private dropIdle(): void {
    for (const [workspace, queue] of this.queues) {
      const owes = queue.lastFinishTag > this.virtualTime && this.count > 0;
      if (queue.entries.length === 0 && !owes) this.queues.delete(workspace);
    }
  }
}

function startTagOf(queue: WorkspaceQueue<QueuedItem> | undefined): number {
  return queue?.entries[0]?.startTag ?? Infinity;
}
