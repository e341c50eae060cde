import { Priority } from '../ports/index.js';
import type { AdmissionRequest } from './admission.js';
import type { ConcurrencyOptions } from './concurrency-limit.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import type { QueuedItem } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';
import { ServiceTimes } from './service-times.js';

/** Share of the concurrency limit reserved for look-ups. */
const LOOKUP_RESERVED_SHARE = 0.2;
/** Share of the concurrency limit that look-ups leave to other requests while any of these are queued. */
const NON_LOOKUP_RESERVED_SHARE = 0.1;
/** Share of the non-look-up limit up to which drafts are started before standard requests. */
const DRAFT_SHARE = 0.25;

/** Queued request with the callbacks that start or refuse it. */
export interface WaitingRequest extends QueuedItem {
  readonly request: AdmissionRequest;
  readonly start: () => void;
  readonly refuse: (error: Error) => void;
}

/** Admission state of one endpoint group, written to the state dump. */
export interface GroupAdmissionState {
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
}

type ByPriority<Value> = Record<Priority, Value>;

/** Scheduler of the requests of one endpoint group: tracks those in flight and queues the others by priority. */
export class GroupScheduler {
  readonly serviceTimesByKind = new ServiceTimes();
  private readonly concurrencyLimit: ConcurrencyLimit;
  private readonly inFlightByPriority: ByPriority<number> = {
    [Priority.Lookup]: 0,
    [Priority.Standard]: 0,
    [Priority.Draft]: 0,
  };
  private readonly queues: ByPriority<FairQueue<WaitingRequest>> = {
    [Priority.Lookup]: new FairQueue(),
    [Priority.Standard]: new FairQueue(),
    [Priority.Draft]: new FairQueue(),
  };
  /** Service times of all kinds together, by priority. */
  private readonly serviceTimesByPriority = new ServiceTimes();

  constructor(options: ConcurrencyOptions) {
    this.concurrencyLimit = new ConcurrencyLimit(options);
  }

  /**
   * Adjusts the concurrency limit if that is due, and then removes and returns the
   * queued requests that can no longer meet their deadline.
   */
  adjustLimit(waitMs: number, nowMs: number): readonly WaitingRequest[] {
    const inFlight = this.totalInFlight();
    const isDue = this.concurrencyLimit.adjust(
      waitMs,
      inFlight,
      this.queued(),
      nowMs,
    );
    return isDue ? this.removeUnreachable(nowMs) : [];
  }

  queueOf(priority: Priority): FairQueue<WaitingRequest> {
    return this.queues[priority];
  }

  /** Returns the expected time that a new request would be queued, in milliseconds. */
  expectedWaitMs(request: AdmissionRequest, nowMs: number): number {
    const { priority, workspace } = request;
    const queue = this.queues[priority];
    if (queue.size === 0 && this.hasCapacity(priority)) return 0;
    return this.queueDelayMs(
      priority,
      queue.countAheadOf(workspace) + 1,
      nowMs,
    );
  }

  /** Starts queued requests while there is capacity. */
  startWaiting(): void {
    for (;;) {
      const next = this.popNext();
      if (next === undefined) return;
      this.inFlightByPriority[next.request.priority] += 1;
      next.start();
    }
  }

  /** Records the end of a started request; frees its capacity and samples its service time. */
  recordEnd(request: AdmissionRequest, elapsedMs: number, nowMs: number): void {
    this.inFlightByPriority[request.priority] -= 1;
    this.serviceTimesByKind.record(request.kind, elapsedMs, nowMs);
    this.serviceTimesByPriority.record(request.priority, elapsedMs, nowMs);
  }

  state(): GroupAdmissionState {
    return {
      limit: this.concurrencyLimit.current,
      inFlight: this.totalInFlight(),
      queued: this.queued(),
    };
  }

  /** Removes and returns all queued requests. */
  drain(): readonly WaitingRequest[] {
    return Object.values(this.queues).flatMap(queue => queue.drain());
  }

  /** Returns the expected time until the priority's next `requestCount` requests have been started, in milliseconds. */
  private queueDelayMs(
    priority: Priority,
    requestCount: number,
    nowMs: number,
  ): number {
    const serviceMs = this.serviceTimesByPriority.expectedMs(priority, nowMs);
    return (requestCount * serviceMs) / this.guaranteedSlots(priority);
  }

  private removeUnreachable(nowMs: number): readonly WaitingRequest[] {
    return Object.values(this.queues).flatMap(queue =>
      queue.removeWhere(({ request }, ahead) => {
        const { deadlineAtMs, kind, priority } = request;
        const waitMs = this.queueDelayMs(priority, ahead, nowMs);
        const serviceMs = this.serviceTimesByKind.expectedMs(kind, nowMs);
        return nowMs + waitMs + serviceMs > deadlineAtMs;
      }),
    );
  }

  private popNext(): WaitingRequest | undefined {
    for (const priority of this.dequeueOrder()) {
      const queue = this.queues[priority];
      if (queue.size > 0 && this.hasCapacity(priority)) return queue.pop();
    }
    return undefined;
  }

  /** Returns the priorities in the order in which their queues are served. */
  private dequeueOrder(): readonly Priority[] {
    const draftSlots = this.nonLookupLimit() * DRAFT_SHARE;
    return this.inFlightByPriority[Priority.Draft] < draftSlots
      ? [Priority.Lookup, Priority.Draft, Priority.Standard]
      : [Priority.Lookup, Priority.Standard, Priority.Draft];
  }

  private hasCapacity(priority: Priority): boolean {
    const freeSlots = this.concurrencyLimit.current - this.totalInFlight();
    if (freeSlots <= 0) return false;
    if (priority === Priority.Lookup) {
      return this.inFlightByPriority[Priority.Lookup] < this.lookupLimit();
    }
    return this.nonLookupsInFlight() < this.nonLookupLimit();
  }

  /** Returns the number of concurrent requests guaranteed to the priority at present. */
  private guaranteedSlots(priority: Priority): number {
    if (priority === Priority.Lookup) return this.lookupLimit();
    const lookups = this.inFlightByPriority[Priority.Lookup];
    const nonLookupSlots = Math.min(
      this.nonLookupLimit(),
      this.concurrencyLimit.current - lookups,
    );
    const share = priority === Priority.Draft ? DRAFT_SHARE : 1 - DRAFT_SHARE;
    const competingPriority =
      priority === Priority.Draft ? Priority.Standard : Priority.Draft;
    const isShared = this.queues[competingPriority].size > 0;
    return Math.max(1, isShared ? nonLookupSlots * share : nonLookupSlots);
  }

  private lookupLimit(): number {
    const queuedNonLookups =
      this.queues[Priority.Standard].size + this.queues[Priority.Draft].size;
    if (queuedNonLookups === 0) return this.concurrencyLimit.current;
    return (
      this.concurrencyLimit.current -
      Math.ceil(this.concurrencyLimit.current * NON_LOOKUP_RESERVED_SHARE)
    );
  }

  private nonLookupLimit(): number {
    return (
      this.concurrencyLimit.current -
      Math.ceil(this.concurrencyLimit.current * LOOKUP_RESERVED_SHARE)
    );
  }

  private nonLookupsInFlight(): number {
    return (
      this.inFlightByPriority[Priority.Standard] +
      this.inFlightByPriority[Priority.Draft]
    );
  }

  private totalInFlight(): number {
    return this.inFlightByPriority[Priority.Lookup] + this.nonLookupsInFlight();
  }

  private queued(): number {
    return Object.values(this.queues).reduce(
      (total, queue) => total + queue.size,
      0,
    );
  }
}
