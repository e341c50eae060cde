import type { GroupRoom, ReportedLoad } from '../forwarding/index.js';
import type { Random } from '../ports/index.js';
import { findDisplaced } from './displacement.js';
import { DrainRate } from './drain-rate.js';
import { InFlightLimit } from './in-flight-limit.js';
import type { QueueState } from './queue-state.js';
import { summarizeWaiting } from './queue-state.js';
import type {
  QueueDecision,
  QueuedRequest,
  QueueLimits,
} from './queued-request.js';
import { QueueDecisionKind, QueueRefusal } from './queued-request.js';
import { RefusalBacklog } from './refusal-backlog.js';
import { compareClasses, isTooLate, isUseful } from './request-order.js';
import { spreadReturnMs } from './return-time.js';
import { ScopeHolds } from './scope-holds.js';
import { orderByTurns } from './service-order.js';
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
/** Share of the limit up to which requests are sent that can no longer meet their objective. */
const LATE_SHARE = 0.75; // a late response is worth a tenth; the rest is for the useful ones that arrive next
/** Most requests that one pass sends, and most that it refuses. */
export const MAX_PASS_REQUESTS = 8; // at 1 ms of processor time each, a turn of 67 ms on 0.12 cores
/** Longest rest of a place under a limit below one. */
const MAX_REST_MS = 1_000; // as long as reports count; then a request may be sent on trial

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
  /** What waits for endpoints of its own; no other request waits for it. */
  readonly holds = new ScopeHolds();
  private waiting: readonly QueuedRequest[] = [];
  private inFlightCount = 0;
  private restsUntilMs = -Infinity;
  private sentFromQueue = 1;
  /** Requests that were sent in the order of the queue, as opposed to on arrival. */
  private readonly sentInOrder = new WeakSet<QueuedRequest>();
  private beyondLimitAtMs: readonly number[] = [];
  private checkWaitsAtMs = 0;
  private equalShare = 0;
  private readonly shares = new WorkspaceShares();
  private readonly limit = new InFlightLimit();
  private readonly rate = new DrainRate();
  private readonly refusals = new RefusalBacklog();
  private hasReachedBound = false;

  constructor(private readonly options: DispatchQueueOptions) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.waiting.length;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  /** Whether the last pass ended at its bound, so that another one is due in the next turn of the event loop. */
  get isBehind(): boolean {
    return this.hasReachedBound || this.refusals.length > 0;
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
    const isFirst = this.sendable(nowMs).length === 0;
    if (isFirst) this.rate.clear();
    if (isTooLate(request, nowMs))
      return this.refuse(request, QueueRefusal.TooLate, nowMs);
    if (isClosed(room) && !isUseful(request, nowMs))
      return this.send(request, nowMs);
    const isNext = isFirst && !this.holds.isHeld(request, nowMs);
    if (isNext && this.hasRoom(room, nowMs) && this.maySend(request, nowMs))
      return this.send(request, nowMs);
    if (this.isHopeless(request, nowMs))
      return this.refuse(request, QueueRefusal.TooLate, nowMs);
    if (!this.makePlace(request, nowMs))
      return this.refuse(request, QueueRefusal.QueueFull, nowMs);
    this.add(request);
    return { kind: QueueDecisionKind.Wait, requestId: request.requestId };
  }

  /**
   * Returns the requests to send now, in order, and those to refuse, a few of each:
   * `isBehind` says whether more are due. Called when capacity may have become
   * available, and at least every 50 ms.
   */
  advance(room: GroupRoom, nowMs: number): readonly QueueDecision[] {
    this.updateShare(room);
    const late = this.waiting.filter(each => isTooLate(each, nowMs));
    this.giveUp(late, QueueRefusal.TooLate);
    const sent = isClosed(room)
      ? this.sendLate(nowMs)
      : this.sendNext(room, nowMs);
    this.hasReachedBound = sent.length === MAX_PASS_REQUESTS;
    // What the next pass may send is not hopeless.
    if (!this.hasReachedBound) this.giveUpHopeless(nowMs);
    const refused = this.refusals
      .take(MAX_PASS_REQUESTS)
      .map(({ reason, request }) => this.refuse(request, reason, nowMs));
    return [...refused, ...sent];
  }

  /** Removes a waiting request whose caller no longer wants it. */
  remove(requestId: string): void {
    const request = this.waiting.find(each => each.requestId === requestId);
    if (request !== undefined) this.take(request);
    this.refusals.remove(requestId);
  }

  /** Puts a request back that was to be sent and for which no endpoint could be reserved. */
  putBack(request: QueuedRequest, nowMs: number): void {
    this.cancelSend(request, nowMs);
    this.add(request);
  }

  /**
   * Frees the place of a request that was to be sent and is put back or refused. It
   * does not count as sent: otherwise its workspace would pay for it at each
   * attempt, and the turns of the oldest request could all fall on such sends.
   */
  cancelSend(request: QueuedRequest, nowMs: number): void {
    this.inFlightCount -= 1;
    if (this.inFlightCount >= this.inFlightLimit(nowMs))
      this.beyondLimitAtMs = this.beyondLimitAtMs.slice(0, -1);
    this.shares.refund(request);
    if (!this.sentInOrder.delete(request)) return;
    this.rate.removeSend();
    this.sentFromQueue -= 1;
  }

  /**
   * Frees the place that a request held for `heldMs`. Under a limit below one the
   * place then rests, so that the limit holds on average.
   */
  release(heldMs: number, nowMs: number, hasResponded = true): void {
    this.inFlightCount -= 1;
    // Rejections are quick, and say nothing of the time that requests take.
    if (hasResponded) this.limit.recordHold(heldMs);
    const limit = this.inFlightLimit(nowMs);
    if (limit >= 1) return;
    const restMs = Math.min(MAX_REST_MS, heldMs * (1 / limit - 1));
    this.restsUntilMs = nowMs + restMs;
  }

  /** Refuses all waiting requests, as the daemon stops; another one can take them at once. */
  refuseWaiting(): readonly QueueDecision[] {
    this.giveUp(this.waiting, QueueRefusal.Stopping);
    return this.refusals.take().map(({ request }) => ({
      kind: QueueDecisionKind.Refuse,
      requestId: request.requestId,
      reason: QueueRefusal.Stopping,
      retryInMs: 0,
    }));
  }

  dumpState(nowMs: number): QueueState {
    const perMs = this.rate.perMs(nowMs);
    return {
      ...summarizeWaiting(this.waiting, nowMs),
      ...(perMs !== undefined && { sentPerSecond: perMs * 1_000 }),
      inFlight: this.inFlightCount,
      inFlightLimit: this.inFlightLimit(nowMs),
      equalShare: this.equalShare,
      limit: this.limit.dumpState(nowMs),
    };
  }

  recordLoad(load: ReportedLoad, nowMs: number): void {
    const limit = this.inFlightLimit(nowMs);
    const isBinding =
      this.sendable(nowMs).length > 0 ||
      this.inFlightCount >= limit * BINDING_SHARE;
    this.limit.recordLoad(load, this.equalShare, isBinding, nowMs);
  }

  recordRejection(sentAtMs: number): void {
    this.limit.recordRejection(this.equalShare, sentAtMs);
  }

  private updateShare({ totalSlots }: GroupRoom): void {
    this.equalShare = totalSlots / Math.max(1, this.options.daemonCount());
  }

  private hasRoom(room: GroupRoom, nowMs: number): boolean {
    // Without endpoints the request is refused, or passed to a peer, on the way.
    if (room.totalSlots === 0) return true;
    if (isClosed(room)) return false;
    const limit = this.inFlightLimit(nowMs);
    const isRested = limit >= 1 || nowMs >= this.restsUntilMs;
    if (this.inFlightCount < limit && isRested) return true;
    if (!room.isKnown) return isRested && this.inFlightCount < this.equalShare;
    return this.recentBeyondLimit(nowMs).length < room.freeSlots;
  }

  /** Returns the times of the sends beyond the limit that use up a free slot of the reports in use. */
  private recentBeyondLimit(nowMs: number): readonly number[] {
    return this.beyondLimitAtMs.filter(atMs => nowMs - atMs < REPORT_TTL_MS);
  }

  /** Sends those that can no longer meet their objective while no endpoint takes any: they are refused on the way, with the time at which one does. */
  private sendLate(nowMs: number): readonly QueueDecision[] {
    const late = this.waiting
      .filter(each => !isUseful(each, nowMs))
      .slice(0, MAX_PASS_REQUESTS);
    for (const request of late) this.take(request);
    return late.map(each => this.send(each, nowMs));
  }

  /** Sends the next requests in the order for which there is room. */
  private sendNext(room: GroupRoom, nowMs: number): readonly QueueDecision[] {
    const sent: QueueDecision[] = [];
    while (sent.length < MAX_PASS_REQUESTS && this.hasRoom(room, nowMs)) {
      const next = this.takeNext(nowMs);
      if (next === undefined) break;
      this.rate.recordSend(nowMs);
      this.sentInOrder.add(next);
      sent.push(this.send(next, nowMs));
    }
    return sent;
  }

  private send(request: QueuedRequest, nowMs: number): QueueDecision {
    if (this.inFlightCount >= this.inFlightLimit(nowMs))
      this.beyondLimitAtMs = [...this.recentBeyondLimit(nowMs), nowMs];
    this.inFlightCount += 1;
    this.shares.charge(request);
    return { kind: QueueDecisionKind.Send, requestId: request.requestId };
  }

  /** Takes the request that is next in the order, or the oldest one if it is its turn; undefined if none may be sent. */
  private takeNext(nowMs: number): QueuedRequest | undefined {
    const waiting = this.sendable(nowMs);
    const [first] = waiting;
    if (first === undefined) return undefined;
    const isOldestsTurn = this.sentFromQueue % OLDEST_INTERVAL === 0;
    const isBefore = (one: QueuedRequest, other: QueuedRequest) =>
      isOldestsTurn
        ? one.receivedAtMs < other.receivedAtMs
        : this.compare(one, other, nowMs) < 0;
    const next = waiting.reduce(
      (best, each) => (isBefore(each, best) ? each : best),
      first,
    );
    if (!isOldestsTurn && !this.maySend(next, nowMs)) return undefined;
    this.sentFromQueue += 1;
    this.take(next);
    return next;
  }

  /** Whether the part of the limit that the request may use has a place: all of it if the request is useful. */
  private maySend(request: QueuedRequest, nowMs: number): boolean {
    const lateLimit = this.inFlightLimit(nowMs) * LATE_SHARE;
    return isUseful(request, nowMs) || this.inFlightCount < lateLimit;
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

  /** Whether a new request will not be sent in time at the rate at which the queue drains. */
  private isHopeless(request: QueuedRequest, nowMs: number): boolean {
    const isTooLateBehind = (ahead: number) =>
      isTooLate(request, nowMs + (this.expectedWaitMs(ahead, nowMs) ?? 0));
    // Its turn matters only if it would be too late as the last one.
    if (!isTooLateBehind(this.waiting.length)) return false;
    const all = [...this.sendable(nowMs), request];
    const ordered = orderByTurns(all, this.shares, nowMs);
    return isTooLateBehind(ordered.indexOf(request));
  }

  /** Gives up those that will not be sent in time at the rate at which the queue drains. */
  private giveUpHopeless(nowMs: number): void {
    if (nowMs < this.checkWaitsAtMs) return;
    this.checkWaitsAtMs = nowMs + WAIT_CHECK_INTERVAL_MS;
    if (this.rate.perMs(nowMs) === undefined) return;
    const waiting = this.sendable(nowMs);
    const ordered = orderByTurns(waiting, this.shares, nowMs);
    const hopeless: QueuedRequest[] = [];
    for (const [index, request] of ordered.entries()) {
      const ahead = index - hopeless.length;
      const waitMs = this.expectedWaitMs(ahead, nowMs) ?? 0;
      if (isTooLate(request, nowMs + waitMs)) hopeless.push(request);
    }
    this.giveUp(hopeless, QueueRefusal.TooLate);
  }

  private expectedWaitMs(ahead: number, nowMs: number): number | undefined {
    const perMs = this.rate.perMs(nowMs);
    return perMs === undefined ? undefined : ahead / perMs;
  }

  /** Makes place for a request by displacing less valuable ones; returns false if it is the least valuable itself, or too many are to be refused already. */
  private makePlace(request: QueuedRequest, nowMs: number): boolean {
    const limits = this.options.limits();
    const displaced = findDisplaced(this.waiting, request, limits, nowMs);
    if (displaced === undefined) return false;
    // Those to be refused hold their bodies as well.
    if (displaced.length > 0 && this.refusals.isFull(limits)) return false;
    this.giveUp(displaced, QueueRefusal.QueueFull);
    return true;
  }

  private sendable(nowMs: number): readonly QueuedRequest[] {
    return this.holds.sendable(this.waiting, nowMs);
  }

  private add(request: QueuedRequest): void {
    this.waiting = [...this.waiting, request];
  }

  private take(request: QueuedRequest): void {
    this.waiting = this.waiting.filter(each => each !== request);
  }

  /** Takes waiting requests out of the queue, to be refused by this pass or a further one. */
  private giveUp(
    requests: readonly QueuedRequest[],
    reason: QueueRefusal,
  ): void {
    if (requests.length === 0) return;
    const leaving = new Set(requests);
    this.waiting = this.waiting.filter(each => !leaving.has(each));
    this.refusals.add(requests, reason);
  }

  private refuse(
    { deadlineAtMs, requestId }: QueuedRequest,
    reason: QueueRefusal,
    nowMs: number,
  ): QueueDecision {
    const drainedInMs =
      this.expectedWaitMs(this.waiting.length, nowMs) ?? UNKNOWN_WAIT_MS;
    const remainingMs = deadlineAtMs - nowMs;
    const { random } = this.options;
    const retryInMs = spreadReturnMs(drainedInMs, remainingMs, random);
    return { kind: QueueDecisionKind.Refuse, requestId, reason, retryInMs };
  }
}

/** Whether none of a group's endpoints may be sent a request now. */
function isClosed({ openSlots, totalSlots }: GroupRoom): boolean {
  return totalSlots > 0 && openSlots === 0;
}
