import type { Clock, Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';

export interface RequestMemoryDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Memory of a request besides its body: its parsed head, its response and their promises. */
const OVERHEAD_BYTES = 8_192; // 20 x 2,000 pipelined requests took 8 kB each
/** Size up to which a request is refused last: that of an ordinary request. */
const SMALL_BYTES = OVERHEAD_BYTES + 16_384;
/**
 * Time for which a request is not evicted in favour of a larger one of its own caller, as
 * a caller that sends more than fits would otherwise complete none. A body of 4 MiB
 * arrives within it at 34 Mbit/s.
 */
const MIN_READ_MS = 1_000;
/** Multiple of the limit that small requests may take while nothing can be evicted. */
const SMALL_LIMIT_FACTOR = 2;

/** Why a request gets no memory; tags the metric. */
enum RefusalReason {
  /** It was being read, and another caller's request took its memory. */
  Evicted = 'evicted',
  /** Nothing else could be evicted. */
  Full = 'full',
}

/** Memory that one request holds. */
export class RequestShare {
  /** Memory held, in bytes, with that of the request's head. */
  bytes = 0;
  /** Whether the request was read whole, so that it is no longer evicted. */
  isComplete = false;
  /** Called when the request must give its memory up. */
  onEvicted: () => void = () => undefined;

  constructor(
    private readonly memory: RequestMemory,
    /** Who sends the request: its workspace or its address. */
    readonly caller: string,
    readonly openedAtMs: number,
  ) {}

  /** Whether the request may go on: it was neither evicted nor closed. */
  get isOpen(): boolean {
    return this.memory.has(this);
  }

  /** Sets the memory that the body needs now. Returns false if the request must be refused. */
  tryHold(bodyBytes: number): boolean {
    return this.memory.tryResize(this, bodyBytes + OVERHEAD_BYTES);
  }

  close(): void {
    this.memory.close(this);
  }
}

/**
 * Bounds the memory of the requests that are being read or are in progress, over
 * all connections. Meant for crowds of callers that hold bodies open just short
 * of their end; no request ever waits. Where memory is short, the caller that
 * holds the most loses its oldest request that is still being read: one that was
 * begun long ago is the least likely to be completed. If the request that asks
 * for memory is of that caller, and none of the others is older than a second,
 * it is refused instead. Requests that were read whole may have run and are kept.
 */
export class RequestMemory {
  private usedBytes = 0;
  /** The open shares, oldest first. */
  private readonly shares = new Set<RequestShare>();
  private readonly bytesByCaller = new Map<string, number>();

  constructor(
    private readonly deps: RequestMemoryDependencies,
    /** Memory for all requests together; small ones may take twice as much. */
    private readonly limitBytes: number,
  ) {}

  /** Memory in use, in bytes. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  /** Opens the share of a request, which holds nothing yet. */
  open(caller: string): RequestShare {
    const share = new RequestShare(this, caller, this.deps.clock.nowMs());
    this.shares.add(share);
    return share;
  }

  has(share: RequestShare): boolean {
    return this.shares.has(share);
  }

  tryResize(share: RequestShare, bytes: number): boolean {
    if (!this.shares.has(share)) return false;
    const addedBytes = bytes - share.bytes;
    while (addedBytes > 0 && this.usedBytes + addedBytes > this.limitBytes) {
      const victim = this.findVictim(share, addedBytes);
      if (victim === undefined) {
        const limitBytes = this.limitBytes * SMALL_LIMIT_FACTOR;
        const isAllowed =
          isSmall(bytes) && this.usedBytes + addedBytes <= limitBytes;
        if (isAllowed) break;
        this.report(share, RefusalReason.Full);
        return false;
      }
      this.evict(victim);
    }
    this.assign(share, bytes);
    return true;
  }

  close(share: RequestShare): void {
    if (!this.shares.has(share)) return;
    this.assign(share, 0);
    this.shares.delete(share);
  }

  /** Returns the request to evict so that `asking` can grow; undefined if `asking` is to be refused. */
  private findVictim(
    asking: RequestShare,
    addedBytes: number,
  ): RequestShare | undefined {
    const askingBytes = this.heldBy(asking.caller) + addedBytes;
    const bytesOf = (caller: string) =>
      caller === asking.caller ? askingBytes : this.heldBy(caller);
    let victim: RequestShare | undefined;
    for (const share of this.shares) {
      if (share.isComplete || share === asking || share.bytes === 0) continue;
      if (victim === undefined) victim = share;
      else if (share.caller === victim.caller) {
        if (isSmall(victim.bytes) && !isSmall(share.bytes)) victim = share;
      } else if (bytesOf(share.caller) > bytesOf(victim.caller)) victim = share;
    }
    if (victim === undefined || isSmall(asking.bytes + addedBytes))
      return victim;
    const isOwn = victim.caller === asking.caller;
    if (!isOwn)
      return askingBytes > bytesOf(victim.caller) ? undefined : victim;
    const openForMs = this.deps.clock.nowMs() - victim.openedAtMs;
    return openForMs < MIN_READ_MS ? undefined : victim;
  }

  private heldBy(caller: string): number {
    return this.bytesByCaller.get(caller) ?? 0;
  }

  private assign(share: RequestShare, bytes: number): void {
    const { caller } = share;
    const addedBytes = bytes - share.bytes;
    const callerBytes = this.heldBy(caller) + addedBytes;
    if (callerBytes === 0) this.bytesByCaller.delete(caller);
    else this.bytesByCaller.set(caller, callerBytes);
    this.usedBytes += addedBytes;
    share.bytes = bytes;
  }

  private evict(share: RequestShare): void {
    this.report(share, RefusalReason.Evicted);
    this.close(share);
    share.onEvicted();
  }

  private report(share: RequestShare, reason: RefusalReason): void {
    const { clock, log, metrics } = this.deps;
    metrics.increment('callers.refusedForMemory', 1, { reason });
    log.warn(
      LogComponent.Forwarding,
      'A request is refused, as its callers hold too much memory.',
      {
        caller: share.caller,
        reason,
        bytes: share.bytes,
        callerBytes: this.heldBy(share.caller),
        heldBytes: this.usedBytes,
        openForMs: Math.round(clock.nowMs() - share.openedAtMs),
      },
    );
  }
}

function isSmall(bytes: number): boolean {
  return bytes <= SMALL_BYTES;
}
