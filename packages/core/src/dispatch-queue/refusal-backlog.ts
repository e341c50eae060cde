import type {
  QueuedRequest,
  QueueLimits,
  QueueRefusal,
} from './queued-request.js';

export interface PendingRefusal {
  readonly request: QueuedRequest;
  readonly reason: QueueRefusal;
}

/** Requests that have left a queue and are to be refused, in order: a few in each pass. */
export class RefusalBacklog {
  private pending: readonly PendingRefusal[] = [];

  get length(): number {
    return this.pending.length;
  }

  /** Whether it has reached the limits, which are those of a queue. */
  isFull({ maxBytes, maxRequests }: QueueLimits): boolean {
    const bytes = this.pending.reduce(
      (sum, { request }) => sum + request.bytes,
      0,
    );
    return this.pending.length >= maxRequests || bytes >= maxBytes;
  }

  add(requests: readonly QueuedRequest[], reason: QueueRefusal): void {
    if (requests.length === 0) return;
    const added = requests.map(request => ({ request, reason }));
    this.pending = [...this.pending, ...added];
  }

  /** Removes and returns the first ones. */
  take(maxCount = Infinity): readonly PendingRefusal[] {
    const taken = this.pending.slice(0, maxCount);
    this.pending = this.pending.slice(taken.length);
    return taken;
  }

  remove(requestId: string): void {
    this.pending = this.pending.filter(
      each => each.request.requestId !== requestId,
    );
  }
}
