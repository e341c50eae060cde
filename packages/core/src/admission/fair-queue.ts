import type { Workspace } from '../ports/index.js';

/** Properties of an item that the queue schedules by. */
export interface QueuedItem {
  readonly workspace: Workspace;
  /** Cost of the item in tokens. */
  readonly cost: number;
  /** Weight of its workspace relative to others, above 0. */
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
 * Start-time fair queue (Goyal, Vin and Cheng, 1996): serves each workspace in
 * proportion to its weight, however many items it adds.
 */
export class FairQueue<Item extends QueuedItem> {
  private readonly queues = new Map<Workspace, WorkspaceQueue<Item>>();
  private virtualTime = 0;
  private itemCount = 0;

  get size(): number {
    return this.itemCount;
  }

  sizeOf(workspace: Workspace): number {
    return this.queues.get(workspace)?.entries.length ?? 0;
  }

  /**
   * Returns the number of items served before the workspace's item at `position`,
   * assuming equal costs and weights. The default is the position of a new item.
   */
  countAheadOf(
    workspace: Workspace,
    position = this.sizeOf(workspace),
  ): number {
    let ahead = position;
    for (const [other, queue] of this.queues) {
      if (other === workspace) continue;
      ahead += Math.min(queue.entries.length, position + 1);
    }
    return ahead;
  }

  /** Removes and returns the items for which `shouldRemove` holds, given the number of items ahead of each. */
  removeWhere(
    shouldRemove: (item: Item, ahead: number) => boolean,
  ): readonly Item[] {
    const removed: Item[] = [];
    for (const [workspace, queue] of this.queues) {
      queue.entries.forEach(({ item }, position) => {
        const ahead = this.countAheadOf(workspace, position);
        if (shouldRemove(item, ahead)) removed.push(item);
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
    this.itemCount += 1;
  }

  /** Removes and returns the item with the lowest start tag. */
  pop(): Item | undefined {
    let first: WorkspaceQueue<Item> | undefined;
    for (const queue of this.queues.values()) {
      if (startTagOf(queue) < startTagOf(first)) first = queue;
    }
    const entry = first?.entries.shift();
    if (entry === undefined) return undefined;
    this.virtualTime = entry.startTag;
    this.itemCount -= 1;
    this.removeIdleQueues();
    return entry.item;
  }

  remove(item: Item): void {
    const queue = this.queues.get(item.workspace);
    if (queue === undefined) return;
    const remaining = queue.entries.filter(entry => entry.item !== item);
    this.itemCount -= queue.entries.length - remaining.length;
    queue.entries = remaining;
    this.removeIdleQueues();
  }

  /** Removes and returns all items. */
  drain(): readonly Item[] {
    const items = [...this.queues.values()].flatMap(queue =>
      queue.entries.map(entry => entry.item),
    );
    this.queues.clear();
    this.itemCount = 0;
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

  /**
   * Removes empty workspace queues, except those whose last finish tag is still
   * ahead of virtual time while other items are queued.
   */
  private removeIdleQueues(): void {
    for (const [workspace, queue] of this.queues) {
      const hasOutstandingWork =
        queue.lastFinishTag > this.virtualTime && this.itemCount > 0;
      if (queue.entries.length === 0 && !hasOutstandingWork)
        this.queues.delete(workspace);
    }
  }
}

function startTagOf(queue: WorkspaceQueue<QueuedItem> | undefined): number {
  return queue?.entries[0]?.startTag ?? Infinity;
}
