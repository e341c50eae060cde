import type { Clock, Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';

export interface ResponseMemoryDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Size up to which a response never waits: that of an ordinary response. */
const SMALL_BYTES = 16_384;
/** Time without new bytes after which a response makes room for others. */
const STALL_MS = 2_000; // sound endpoints fall silent for a second or so
const CHECK_INTERVAL_MS = 250;

/** Memory that one response holds. */
export class ResponseShare {
  bytes = 0;
  growsAtMs: number;
  isWaiting = false;
  /** Whether it may grow beyond the limit. */
  isPrivileged = false;
  /** Whether the response is complete, so that only its caller can be slow. */
  isComplete = false;

  constructor(
    private readonly memory: ResponseMemory,
    nowMs: number,
    /** Called when the response must give its memory up. */
    readonly onEvicted: () => void,
  ) {
    this.growsAtMs = nowMs;
  }

  /** Sets the memory that the response needs now. Returns false if it has to wait for it. */
  tryHold(bytes: number): boolean {
    return this.memory.tryResize(this, bytes);
  }

  /** Resolves once the response may use so much memory, or is closed. */
  wait(bytes: number): Promise<void> {
    return this.memory.wait(this, bytes);
  }

  close(): void {
    this.memory.close(this);
  }
}

/** Response that waits for memory. */
interface Waiter {
  readonly share: ResponseShare;
  readonly bytes: number;
  readonly resolve: () => void;
}

/**
 * Bounds the memory of the responses that are being received, over all
 * connections. Responses beyond it wait, oldest first; their endpoints are not
 * read meanwhile. The one that waits longest may exceed the limit, so that
 * responses that are all incomplete cannot block one another. Those that have
 * stopped growing are given up while others wait, largest first.
 */
export class ResponseMemory {
  private usedBytes = 0;
  private readonly shares = new Set<ResponseShare>();
  private readonly waiters: Waiter[] = [];
  private isWatching = false;

  constructor(
    private readonly deps: ResponseMemoryDependencies,
    /** Memory for all responses together; one more response may grow beyond it. */
    private readonly limitBytes: number,
  ) {}

  /** Memory in use, in bytes. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  open(onEvicted: () => void): ResponseShare {
    const share = new ResponseShare(this, this.deps.clock.nowMs(), onEvicted);
    this.shares.add(share);
    return share;
  }

  tryResize(share: ResponseShare, bytes: number): boolean {
    share.growsAtMs = this.deps.clock.nowMs();
    if (!this.mayResize(share, bytes)) return false;
    this.assign(share, bytes);
    return true;
  }

  wait(share: ResponseShare, bytes: number): Promise<void> {
    const granted = new Promise<void>(resolve => {
      share.isWaiting = true;
      this.waiters.push({ share, bytes, resolve });
    });
    this.deps.metrics.increment('responses.waitedForMemory');
    this.grant();
    if (!this.isWatching) void this.watch();
    return granted;
  }

  close(share: ResponseShare): void {
    if (!this.shares.delete(share)) return;
    this.usedBytes -= share.bytes;
    const index = this.waiters.findIndex(waiter => waiter.share === share);
    if (index >= 0) this.waiters.splice(index, 1)[0]?.resolve();
    this.grant();
  }

  private mayResize(share: ResponseShare, bytes: number): boolean {
    if (!this.shares.has(share) || share.isPrivileged) return true;
    if (bytes <= Math.max(SMALL_BYTES, share.bytes)) return true;
    return this.waiters.length === 0 && this.fits(share, bytes);
  }

  private fits(share: ResponseShare, bytes: number): boolean {
    return this.usedBytes + bytes - share.bytes <= this.limitBytes;
  }

  private assign(share: ResponseShare, bytes: number): void {
    if (!this.shares.has(share)) return;
    this.usedBytes += bytes - share.bytes;
    share.bytes = bytes;
  }

  private grant(): void {
    for (;;) {
      const [head] = this.waiters;
      if (head === undefined) return;
      const { bytes, resolve, share } = head;
      if (!this.fits(share, bytes)) {
        if ([...this.shares].some(each => each.isPrivileged)) return;
        share.isPrivileged = true;
      }
      this.waiters.shift();
      share.isWaiting = false;
      share.growsAtMs = this.deps.clock.nowMs();
      this.assign(share, bytes);
      resolve();
    }
  }

  private async watch(): Promise<void> {
    const { clock } = this.deps;
    this.isWatching = true;
    while (this.waiters.length > 0) {
      await clock.waitUntil(clock.nowMs() + CHECK_INTERVAL_MS);
      this.evictStalled();
    }
    this.isWatching = false;
  }

  private evictStalled(): void {
    const stalledSinceMs = this.deps.clock.nowMs() - STALL_MS;
    const stalled = [...this.shares]
      .filter(share => !share.isWaiting && !share.isComplete)
      .filter(share => share.bytes > SMALL_BYTES)
      .filter(share => share.growsAtMs <= stalledSinceMs)
      .sort((left, right) => right.bytes - left.bytes);
    for (const share of stalled) {
      if (this.waiters.length === 0) return;
      this.evict(share);
    }
  }

  private evict(share: ResponseShare): void {
    const { log, metrics } = this.deps;
    const { bytes } = share;
    metrics.increment('responses.evicted');
    log.warn(
      LogComponent.Forwarding,
      'A response that makes no progress is given up for its memory.',
      { bytes, heldBytes: this.usedBytes, waiting: this.waiters.length },
    );
    this.close(share);
    share.onEvicted();
  }
}
