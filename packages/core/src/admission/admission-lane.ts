import { Priority } from '../ports/index.js';
import type { AdmissionRequest } from './admission.js';
import type { ConcurrencyOptions } from './concurrency-limit.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import type { QueuedItem } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';
import { ServiceTimes } from './service-times.js';

/** Share of the limit that only look-ups may use. */
const LOOKUP_RESERVE = 0.2;
/** Share of the limit that look-ups leave to other work that waits. */
const OTHERS_RESERVE = 0.1;
/** Share of what look-ups leave that drafts may use before standard work. */
const DRAFT_SHARE = 0.25;

/** A request that waits for its turn. */
export interface WaitingRequest extends QueuedItem {
  readonly request: AdmissionRequest;
  readonly start: () => void;
  readonly refuse: (error: Error) => void;
}

/** State of one lane, for the operators. */
export interface LaneState {
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
}

type ByPriority<Value> = Record<Priority, Value>;

/** Requests of one endpoint group: those in flight and, by priority, those waiting. */
export class AdmissionLane {
  readonly serviceTimes = new ServiceTimes();
  private readonly limit: ConcurrencyLimit;
  private readonly inFlight: ByPriority<number> = {
    [Priority.Lookup]: 0,
    [Priority.Standard]: 0,
    [Priority.Draft]: 0,
  };
  private readonly queues: ByPriority<FairQueue<WaitingRequest>> = {
    [Priority.Lookup]: new FairQueue(),
    [Priority.Standard]: new FairQueue(),
    [Priority.Draft]: new FairQueue(),
  };
  /** Service time of each priority, whatever the kind. */
  private readonly priorityTimes = new ServiceTimes();

  constructor(options: ConcurrencyOptions) {
    this.limit = new ConcurrencyLimit(options);
  }

  /** Adjusts the limit and, when that was due, takes out what can no longer meet its deadline. */
  adjust(waitMs: number, nowMs: number): readonly WaitingRequest[] {
    const inFlight = this.totalInFlight();
    const isDue = this.limit.adjust(waitMs, inFlight, this.queued(), nowMs);
    return isDue ? this.takeUnreachable(nowMs) : [];
  }

  queueOf(priority: Priority): FairQueue<WaitingRequest> {
    return this.queues[priority];
  }

  /** Time that a new request would wait here, in milliseconds. */
  expectedWaitMs(request: AdmissionRequest, nowMs: number): number {
    const { priority, workspace } = request;
    const queue = this.queues[priority];
    if (queue.size === 0 && this.hasRoom(priority)) return 0;
    return this.turnsMs(priority, queue.aheadOf(workspace) + 1, nowMs);
  }

  /** Starts waiting requests while there is room. */
  startWaiting(): void {
    for (;;) {
      const next = this.next();
      if (next === undefined) return;
      this.inFlight[next.request.priority] += 1;
      next.start();
    }
  }

  end(request: AdmissionRequest, elapsedMs: number, nowMs: number): void {
    this.inFlight[request.priority] -= 1;
    this.serviceTimes.record(request.kind, elapsedMs, nowMs);
    this.priorityTimes.record(request.priority, elapsedMs, nowMs);
  }

  state(): LaneState {
    return {
      limit: this.limit.current,
      inFlight: this.totalInFlight(),
      queued: this.queued(),
    };
  }

  drain(): readonly WaitingRequest[] {
    return Object.values(this.queues).flatMap(queue => queue.drain());
  }

  /** Time until the priority's next `turns` requests have been started. */
  private turnsMs(priority: Priority, turns: number, nowMs: number): number {
    const serviceMs = this.priorityTimes.expectedMs(priority, nowMs);
    return (turns * serviceMs) / this.slotsOf(priority);
  }

  private takeUnreachable(nowMs: number): readonly WaitingRequest[] {
    return Object.values(this.queues).flatMap(queue =>
      queue.removeWhere(({ request }, ahead) => {
        const { deadlineAtMs, kind, priority } = request;
        const waitMs = this.turnsMs(priority, ahead, nowMs);
        const serviceMs = this.serviceTimes.expectedMs(kind, nowMs);
        return nowMs + waitMs + serviceMs > deadlineAtMs;
      }),
    );
  }

  private next(): WaitingRequest | undefined {
    for (const priority of this.order()) {
      const queue = this.queues[priority];
      if (queue.size > 0 && this.hasRoom(priority)) return queue.pop();
    }
    return undefined;
  }

  private order(): readonly Priority[] {
    const draftRoom = this.othersLimit() * DRAFT_SHARE;
    return this.inFlight[Priority.Draft] < draftRoom
      ? [Priority.Lookup, Priority.Draft, Priority.Standard]
      : [Priority.Lookup, Priority.Standard, Priority.Draft];
  }

  private hasRoom(priority: Priority): boolean {
    const free = this.limit.current - this.totalInFlight();
    if (free <= 0) return false;
    if (priority === Priority.Lookup) {
      return this.inFlight[Priority.Lookup] < this.lookupLimit();
    }
    return this.othersInFlight() < this.othersLimit();
  }

  /** Places that the priority can count on. */
  private slotsOf(priority: Priority): number {
    if (priority === Priority.Lookup) return this.lookupLimit();
    const lookups = this.inFlight[Priority.Lookup];
    const others = Math.min(this.othersLimit(), this.limit.current - lookups);
    const share = priority === Priority.Draft ? DRAFT_SHARE : 1 - DRAFT_SHARE;
    const rival =
      priority === Priority.Draft ? Priority.Standard : Priority.Draft;
    const isShared = this.queues[rival].size > 0;
    return Math.max(1, isShared ? others * share : others);
  }

  private lookupLimit(): number {
    const othersWait =
      this.queues[Priority.Standard].size + this.queues[Priority.Draft].size;
    if (othersWait === 0) return this.limit.current;
    return this.limit.current - Math.ceil(this.limit.current * OTHERS_RESERVE);
  }

  private othersLimit(): number {
    return this.limit.current - Math.ceil(this.limit.current * LOOKUP_RESERVE);
  }

  private othersInFlight(): number {
    return this.inFlight[Priority.Standard] + this.inFlight[Priority.Draft];
  }

  private totalInFlight(): number {
    return this.inFlight[Priority.Lookup] + this.othersInFlight();
  }

  private queued(): number {
    return Object.values(this.queues).reduce(
      (total, queue) => total + queue.size,
      0,
    );
  }
}
