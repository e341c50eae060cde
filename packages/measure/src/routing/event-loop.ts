import type { Clock } from '@skylarkreach/core/ports';

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Discrete-event simulation loop, which is also the clock of the simulated
 * components. Events with equal times run in the order of scheduling.
 */
export class EventLoop implements Clock {
  private readonly heap: ScheduledEvent[] = [];
  private currentMs = 0;
  private nextOrder = 0;
  private hasPendingPromises = false;

  nowMs(): number {
    return this.currentMs;
  }

  schedule(atMs: number, run: () => void): void {
    const event = { atMs, order: this.nextOrder, run };
    this.nextOrder += 1;
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
  }

  /** Makes the loop run pending promise callbacks after the current event and before the next one. */
  flushPromisesAfterEvent(): void {
    this.hasPendingPromises = true;
  }

  waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const settle = (end: () => void) => () => {
        this.flushPromisesAfterEvent();
        end();
      };
      signal?.addEventListener(
        'abort',
        settle(() => {
          reject(signal.reason as Error);
        }),
      );
      this.schedule(atMs, settle(resolve));
    });
  }

  /** Runs all events scheduled up to and including `endMs`. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.atMs > endMs) return;
      this.removeFirst();
      this.currentMs = Math.max(this.currentMs, next.atMs);
      next.run();
      if (!this.hasPendingPromises) continue;
      this.hasPendingPromises = false;
      await new Promise<void>(resolve => {
        setImmediate(resolve);
      });
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!this.swapIfEarlier(index, parent)) return;
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = this.isEarlier(right, left) ? right : left;
      if (!this.swapIfEarlier(child, index)) return;
      index = child;
    }
  }

  private swapIfEarlier(child: number, parent: number): boolean {
    if (!this.isEarlier(child, parent)) return false;
    const lower = this.heap[child];
    const upper = this.heap[parent];
    if (lower === undefined || upper === undefined) return false;
    this.heap[child] = upper;
    this.heap[parent] = lower;
    return true;
  }

  private isEarlier(left: number, right: number): boolean {
    const first = this.heap[left];
    const second = this.heap[right];
    if (first === undefined) return false;
    if (second === undefined) return true;
    if (first.atMs !== second.atMs) return first.atMs < second.atMs;
    return first.order < second.order;
  }
}
