import type { GroupRoom, ReportedLoad } from '../forwarding/index.js';
import type { Random } from '../ports/index.js';
import { DrainRate } from './drain-rate.js';
import { InFlightLimit } from './in-flight-limit.js';
import type {
  QueueDecision,
  QueuedRequest,
  QueueLimits,
} from './queued-request.js';
import { QueueDecisionKind, QueueRefusal } from './queued-request.js';
import { compareClasses, compareRequests, isTooLate } from './request-order.js';
import { WorkspaceShares } from './workspace-shares.js';

/** One in this many requests that leave the queue is the oldest, so that no kind of request starves. */
const OLDEST_INTERVAL = 10; // costs the more useful ones a tenth of the capacity
/** Time for which a report of a free slot allows a request beyond the limit. */
const REPORT_TTL_MS = 1_000; // as long as the pool uses a report
/** Share of the limit from which it counts as binding. */
const BINDING_SHARE = 0.8;
/** Interval between checks of the expected waits; each sorts the queue. */
const WAIT_CHECK_INTERVAL_MS = 250;
/** Expected time to a free place while the rate is not known. */
const UNKNOWN_WAIT_MS = 500; // the time in which a first event arrives
/** Share of its remaining time for which a caller waits at most before it returns. */
const MAX_RETURN_SHARE = 1 / 3; // as callers do
const MIN_RETURN_MS = 50;

export interface DispatchQueueOptions {
  readonly random: Random;
  /** Returns the limits in force. */
  readonly limits: () => QueueLimits;
  /** Returns the number of live daemons, this one included. */
  readonly daemonCount: () => number;
}

/**
 * Requests of one group that wait at this daemon, and those in flight. Meant for
 * groups whose demand may exceed their capacity, in front of up to about a hundred
 * endpoints and behind up to about a hundred daemons whose news of one another are
 * seconds old. A linear scan finds the next request: queues hold a few hundred.
 */
export class DispatchQueue {
  private waiting: readonly QueuedRequest[] = [];
  private waitingBytes = 0;
  private inFlightCount = 0;
  private sentFromQueue = 0;
  private beyondLimitAtMs: readonly number[] = [];
  private checkWaitsAtMs = 0;
  private evicted: readonly QueuedRequest[] = [];
  private equalShare = 0;
  private readonly shares = new WorkspaceShares();
  private readonly limit = new InFlightLimit();
  private readonly rate = new DrainRate();

  constructor(private readonly options: DispatchQueueOptions) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.waiting.length;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  /** Returns the limit of this daemon's requests in flight. */
  inFlightLimit(nowMs: number): number {
    return this.limit.current(this.equalShare, nowMs);
  }

  /**
   * Decides on a new request: whether it may be sent now, waits, or is refused.
   * A request that another one displaces is refused by the next `advance`.
   */
  offer(request: QueuedRequest, room: GroupRoom, nowMs: number): QueueDecision {
    this.updateShare(room);
    if (nowMs >= request.deadlineAtMs)
      return this.refuse(request, QueueRefusal.TooLate, nowMs);
    if (this.waiting.length === 0 && this.hasRoom(room, nowMs))
      return this.send(request, nowMs);
    const ahead = this.waiting.filter(
      other => compareRequests(other, request, nowMs) <= 0,
    ).length;
    if (isTooLate(request, nowMs + (this.expectedWaitMs(ahead, nowMs) ?? 0)))
      return this.refuse(request, QueueRefusal.TooLate, nowMs);
    if (!this.makePlace(request, nowMs))
      return this.refuse(request, QueueRefusal.QueueFull, nowMs);
    this.add(request);
    return { kind: QueueDecisionKind.Wait, requestId: request.requestId };
  }

  /** Returns the requests to send now, in order, and those to refuse. Called when capacity may have become available, and at least every 50 ms. */
  advance(room: GroupRoom, nowMs: number): readonly QueueDecision[] {
    this.updateShare(room);
    const decisions = this.evicted.map(each =>
      this.refuse(each, QueueRefusal.QueueFull, nowMs),
    );
    this.evicted = [];
    const late = this.waiting.filter(each => isTooLate(each, nowMs));
    decisions.push(...this.refuseAll(late, QueueRefusal.TooLate, nowMs));
    while (this.waiting.length > 0 && this.hasRoom(room, nowMs)) {
      const next = this.takeNext(nowMs);
      if (next === undefined) break;
      this.rate.recordSend(nowMs);
      decisions.push(this.send(next, nowMs));
    }
    decisions.push(...this.refuseHopeless(nowMs));
    if (this.waiting.length === 0) this.rate.clear();
    return decisions;
  }

  /** Removes a waiting request whose caller no longer wants it. */
  remove(requestId: string): void {
    const request = this.waiting.find(each => each.requestId === requestId);
    if (request !== undefined) this.take(request);
    this.evicted = this.evicted.filter(each => each.requestId !== requestId);
  }

  /** Puts a request back that was to be sent and for which no endpoint could be reserved. */
  putBack(request: QueuedRequest): void {
    this.release();
    this.add(request);
  }

  /** Frees the place of a request that was sent. */
  release(): void {
    this.inFlightCount -= 1;
  }

  /** Refuses all waiting requests, as the daemon stops; another one can take them at once. */
  refuseWaiting(): readonly QueueDecision[] {
    const refused = [...this.evicted, ...this.waiting];
    this.evicted = [];
    this.waiting = [];
    this.waitingBytes = 0;
    return refused.map(({ requestId }) => ({
      kind: QueueDecisionKind.Refuse,
      requestId,
      reason: QueueRefusal.Stopping,
      retryInMs: 0,
    }));
  }

  recordLoad(load: ReportedLoad, nowMs: number): void {
    const limit = this.inFlightLimit(nowMs);
    const isBinding =
      this.waiting.length > 0 || this.inFlightCount >= limit * BINDING_SHARE;
    this.limit.recordLoad(load, this.equalShare, isBinding, nowMs);
  }

  recordRejection(nowMs: number): void {
    this.limit.recordRejection(this.equalShare, nowMs);
  }

  private updateShare({ totalSlots }: GroupRoom): void {
    this.equalShare = totalSlots / Math.max(1, this.options.daemonCount());
  }

  private hasRoom(room: GroupRoom, nowMs: number): boolean {
    // Without endpoints the request is refused, or passed to a peer, on the way.
    if (room.totalSlots === 0) return true;
    if (room.openSlots === 0) return false;
    if (this.inFlightCount < this.inFlightLimit(nowMs)) return true;
    if (!room.isKnown) return this.inFlightCount < this.equalShare;
    this.beyondLimitAtMs = this.beyondLimitAtMs.filter(
      atMs => nowMs - atMs < REPORT_TTL_MS,
    );
    return this.beyondLimitAtMs.length < room.freeSlots;
  }

  private send(request: QueuedRequest, nowMs: number): QueueDecision {
    if (this.inFlightCount >= this.inFlightLimit(nowMs))
      this.beyondLimitAtMs = [...this.beyondLimitAtMs, nowMs];
    this.inFlightCount += 1;
    this.shares.charge(request);
    return { kind: QueueDecisionKind.Send, requestId: request.requestId };
  }

  private takeNext(nowMs: number): QueuedRequest | undefined {
    this.sentFromQueue += 1;
    const isOldestsTurn = this.sentFromQueue % OLDEST_INTERVAL === 0;
    const next = this.waiting.reduce((best, each) =>
      (isOldestsTurn
        ? each.receivedAtMs - best.receivedAtMs
        : this.compare(each, best, nowMs)) < 0
        ? each
        : best,
    );
    this.take(next);
    return next;
  }

  /** Compares requests by class, then the turns of their workspaces, then by deadline. */
  private compare(
    first: QueuedRequest,
    second: QueuedRequest,
    nowMs: number,
  ): number {
    return (
      compareClasses(first, second, nowMs) ||
      this.shares.startTag(first.workspace) -
        this.shares.startTag(second.workspace) ||
      first.deadlineAtMs - second.deadlineAtMs
    );
  }

  /** Refuses those that will not be sent in time at the rate at which the queue drains. */
  private refuseHopeless(nowMs: number): readonly QueueDecision[] {
    if (nowMs < this.checkWaitsAtMs) return [];
    this.checkWaitsAtMs = nowMs + WAIT_CHECK_INTERVAL_MS;
    if (this.rate.perMs(nowMs) === undefined) return [];
    const ordered = [...this.waiting].sort((first, second) =>
      this.compare(first, second, nowMs),
    );
    const hopeless: QueuedRequest[] = [];
    for (const [index, request] of ordered.entries()) {
      const ahead = index - hopeless.length;
      const waitMs = this.expectedWaitMs(ahead, nowMs) ?? 0;
      if (isTooLate(request, nowMs + waitMs)) hopeless.push(request);
    }
    return this.refuseAll(hopeless, QueueRefusal.TooLate, nowMs);
  }

  private expectedWaitMs(ahead: number, nowMs: number): number | undefined {
    const perMs = this.rate.perMs(nowMs);
    return perMs === undefined ? undefined : ahead / perMs;
  }

  /** Makes place for a request by displacing less valuable ones; returns false if it is the least valuable itself. */
  private makePlace(request: QueuedRequest, nowMs: number): boolean {
    const { maxBytes, maxRequests } = this.options.limits();
    if (request.bytes > maxBytes) return false;
    const displaced: QueuedRequest[] = [];
    let rest = this.waiting;
    let restBytes = this.waitingBytes;
    while (rest.length >= maxRequests || restBytes + request.bytes > maxBytes) {
      const worst = findWorst([...rest, request], nowMs);
      if (worst === undefined || worst === request) return false;
      displaced.push(worst);
      rest = rest.filter(each => each !== worst);
      restBytes -= worst.bytes;
    }
    for (const each of displaced) this.take(each);
    this.evicted = [...this.evicted, ...displaced];
    return true;
  }

  private add(request: QueuedRequest): void {
    this.waiting = [...this.waiting, request];
    this.waitingBytes += request.bytes;
  }

  private take(request: QueuedRequest): void {
    this.waiting = this.waiting.filter(each => each !== request);
    this.waitingBytes -= request.bytes;
  }

  private refuseAll(
    requests: readonly QueuedRequest[],
    reason: QueueRefusal,
    nowMs: number,
  ): readonly QueueDecision[] {
    for (const request of requests) this.take(request);
    return requests.map(each => this.refuse(each, reason, nowMs));
  }

  private refuse(
    { deadlineAtMs, requestId }: QueuedRequest,
    reason: QueueRefusal,
    nowMs: number,
  ): QueueDecision {
    const retryInMs = this.returnInMs(deadlineAtMs - nowMs, nowMs);
    return { kind: QueueDecisionKind.Refuse, requestId, reason, retryInMs };
  }

  /** Returns the time after which the queue has drained, spread so that refused callers do not return at once. */
  private returnInMs(remainingMs: number, nowMs: number): number {
    const drainedInMs =
      this.expectedWaitMs(this.waiting.length, nowMs) ?? UNKNOWN_WAIT_MS;
    const maxMs = Math.max(0, remainingMs) * MAX_RETURN_SHARE;
    const spread = 0.5 + this.options.random.nextFloat() / 2;
    return Math.max(MIN_RETURN_MS, Math.min(drainedInMs, maxMs) * spread);
  }
}

/** Returns the request that is displaced first: of the last class, of the workspace that has most there, the one with the latest deadline. */
function findWorst(
  requests: readonly QueuedRequest[],
  nowMs: number,
): QueuedRequest | undefined {
  const [first] = requests;
  if (first === undefined) return undefined;
  const last = requests.reduce((worst, each) =>
    compareClasses(each, worst, nowMs) > 0 ? each : worst,
  );
  const inClass = requests.filter(
    each => compareClasses(each, last, nowMs) === 0,
  );
  const counts = new Map<string, number>();
  for (const { workspace } of inClass)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
  const countOf = ({ workspace }: QueuedRequest) => counts.get(workspace) ?? 0;
  return inClass.reduce((worst, each) =>
    (countOf(each) - countOf(worst) || each.deadlineAtMs - worst.deadlineAtMs) >
    0
      ? each
      : worst,
  );
}
