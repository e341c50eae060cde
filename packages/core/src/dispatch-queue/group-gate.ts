import type {
  GatedCall,
  GroupRoom,
  PoolReservation,
  ReportedLoad,
} from '../forwarding/index.js';
import {
  daemonStoppingError,
  ForwardError,
  ForwardErrorKind,
} from '../forwarding/index.js';
import { LogComponent } from '../ports/index.js';
import { DispatchQueue, MAX_PASS_REQUESTS } from './dispatch-queue.js';
import type { QueueGateDependencies, Reserve } from './queue-gate.js';
import type { GroupQueueState } from './queue-state.js';
import type { QueueDecision, QueuedRequest } from './queued-request.js';
import { QueueDecisionKind, QueueRefusal } from './queued-request.js';
import { isUseful } from './request-order.js';
import { ServiceTimes } from './service-times.js';

/** Longest time between two looks at a queue in which requests wait. */
const ADVANCE_INTERVAL_MS = 50; // a fraction of the shortest latency objective
/** Share of its time limit above which a request's expected service time is not taken, so that slow responses cannot make a group refuse all. */
const MAX_SERVICE_SHARE = 0.5;

/** Longest time for which requests wait for their own endpoints without another look: others may be listed or warm before. */
const MAX_HOLD_MS = 250; // a fraction of the shortest latency objective, at one look for all of them

interface Waiter {
  readonly sinceMs: number;
  readonly request: QueuedRequest;
  readonly call: GatedCall;
  readonly reserve: Reserve;
  readonly resolve: (reservation: PoolReservation | undefined) => void;
  readonly reject: (error: unknown) => void;
}

/** Request for which an endpoint was reserved and that holds a place. */
interface Sent {
  readonly route: string;
  readonly sentAtMs: number;
  hasResponded: boolean;
}

/** Timers, waiting callers and telemetry of the queue of one group. */
export class GroupGate {
  private readonly queue: DispatchQueue;
  private readonly waiters = new Map<string, Waiter>();
  private readonly sent = new Map<string, Sent>();
  private readonly serviceTimes = new ServiceTimes();
  private isTimerRunning = false;
  /** Whether a pass follows in the next turn of the event loop. */
  private isPassDue = false;
  /** Whether a request that was to be sent was refused, so that its place is free. */
  private hasFreedPlace = false;
  private checkedVersion = 0;

  constructor(
    private readonly group: string,
    private readonly deps: QueueGateDependencies,
  ) {
    this.queue = new DispatchQueue(deps);
  }

  async reserve(
    key: string,
    call: GatedCall,
    reserve: Reserve,
    signal: AbortSignal,
    isStopping: boolean,
  ): Promise<PoolReservation | undefined> {
    if (signal.aborted) return undefined;
    const nowMs = this.deps.clock.nowMs();
    const request = this.toQueued(key, call);
    const decision = this.queue.offer(request, this.room(nowMs), nowMs);
    if (decision.kind === QueueDecisionKind.Refuse) {
      const error = this.refuse(decision, call, nowMs);
      throw error;
    }
    const sent = new Promise<PoolReservation | undefined>((resolve, reject) => {
      const waiter = { request, call, reserve, resolve, reject };
      this.waiters.set(key, { ...waiter, sinceMs: nowMs });
    });
    if (decision.kind === QueueDecisionKind.Send) this.send(key, nowMs, false);
    if (isStopping) this.refuseWaiting();
    if (this.waiters.size > 0) this.advanceWaiting();
    else this.report(nowMs);
    if (!this.waiters.has(key)) return sent;
    const onAbort = () => {
      this.leave(key);
    };
    signal.addEventListener('abort', onAbort, { once: true });
    void this.runTimer();
    try {
      return await sent;
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  recordResponse(key: string, nowMs: number): void {
    const sent = this.sent.get(key);
    if (sent === undefined || sent.hasResponded) return;
    sent.hasResponded = true;
    this.serviceTimes.record(sent.route, nowMs - sent.sentAtMs);
  }

  /** Frees the place of a request, whether it waits or was sent. */
  close(key: string): void {
    this.leave(key);
    const sent = this.sent.get(key);
    if (sent === undefined) return;
    this.sent.delete(key);
    const nowMs = this.deps.clock.nowMs();
    const { hasResponded, sentAtMs } = sent;
    this.queue.release(nowMs - sentAtMs, nowMs, hasResponded);
    this.advanceWaiting();
  }

  recordLoad(load: ReportedLoad, nowMs: number): void {
    this.queue.recordLoad(load, nowMs);
    this.advanceWaiting();
  }

  recordRejection(sentAtMs: number): void {
    this.queue.recordRejection(sentAtMs);
  }

  dumpState(nowMs: number): GroupQueueState {
    return { group: this.group, ...this.queue.dumpState(nowMs) };
  }

  refuseWaiting(): void {
    this.apply(this.queue.refuseWaiting(), this.deps.clock.nowMs());
  }

  /** Refuses the waiting requests that are no longer admitted. */
  recheckWaiting(): void {
    for (const [key, waiter] of this.waiters)
      if (!this.isAdmitted(key, waiter)) this.queue.remove(key);
  }

  private toQueued(key: string, call: GatedCall): QueuedRequest {
    const { bytes, deadlineAtMs, objectiveAtMs, priority } = call;
    const { receivedAtMs, route, scope, workspace } = call;
    const maxServiceMs = (deadlineAtMs - receivedAtMs) * MAX_SERVICE_SHARE;
    return {
      requestId: key,
      workspace,
      priority,
      receivedAtMs,
      objectiveAtMs,
      deadlineAtMs,
      expectedServiceMs: Math.min(
        this.serviceTimes.expectedMs(route),
        maxServiceMs,
      ),
      bytes,
      scope,
    };
  }

  private room(nowMs: number): GroupRoom {
    return this.deps.room(this.group, nowMs);
  }

  private advanceWaiting(): void {
    if (this.isPassDue || this.waiters.size === 0) return;
    this.advance(this.deps.clock.nowMs());
  }

  private advance(nowMs: number): void {
    this.recheckAfterChange();
    const isBehind = this.deps.isCutOff(this.group)
      ? this.passOn(nowMs)
      : this.decide(nowMs);
    this.report(nowMs);
    if (isBehind && !this.isPassDue) void this.advanceAfterPoll();
  }

  /** Sends and refuses a few requests; returns whether more are due. */
  private decide(nowMs: number): boolean {
    this.hasFreedPlace = false;
    this.apply(this.queue.advance(this.room(nowMs), nowMs), nowMs);
    return this.queue.isBehind || this.hasFreedPlace;
  }

  /** Goes on with what a pass left over once all connections were polled, so that a long queue does not hold up the event loop. */
  private async advanceAfterPoll(): Promise<void> {
    this.isPassDue = true;
    await this.deps.nextPoll();
    this.isPassDue = false;
    this.advanceWaiting();
  }

  private apply(decisions: readonly QueueDecision[], nowMs: number): void {
    let isClosed = false;
    for (const decision of decisions) {
      if (decision.kind === QueueDecisionKind.Refuse) {
        const waiter = this.takeWaiter(decision.requestId);
        waiter?.reject(this.refuse(decision, waiter.call, nowMs));
      } else {
        isClosed = this.send(decision.requestId, nowMs, isClosed);
      }
    }
  }

  /**
   * Sends a request, or puts it back. `isClosed` says that no endpoint of the group
   * may be sent a request now, as one before it found; returns whether that is known then.
   */
  private send(key: string, nowMs: number, isClosed: boolean): boolean {
    const waiter = this.waiters.get(key);
    if (waiter === undefined) return isClosed;
    const { call, request, reserve, resolve } = waiter;
    if (nowMs > waiter.sinceMs && !this.isAdmitted(key, waiter)) {
      this.queue.cancelSend(request, nowMs);
      this.hasFreedPlace = true;
      return isClosed;
    }
    if (this.queue.holds.isHeld(request, nowMs)) {
      this.queue.putBack(request, nowMs);
      this.hasFreedPlace = true;
      return isClosed;
    }
    const mayWait = isUseful(request, nowMs);
    // Looking at all endpoints for each of these requests took processor time by the product of both.
    let reservation: PoolReservation | undefined;
    try {
      if (!isClosed || !mayWait) reservation = reserve(nowMs);
    } catch (error) {
      // Thrown on, it would end the request that happened to free the place.
      this.queue.cancelSend(request, nowMs);
      this.hasFreedPlace = true;
      this.takeWaiter(key)?.reject(error);
      return isClosed;
    }
    if (reservation === undefined && mayWait) {
      if (isClosed || this.isClosedForNow(nowMs)) {
        this.queue.putBack(request, nowMs);
        return true;
      }
      const closedForMs = call.closedForMs(nowMs);
      if (closedForMs !== undefined) {
        const holdMs = Math.min(closedForMs, MAX_HOLD_MS);
        this.queue.holds.hold(request.scope, nowMs + holdMs);
        this.deps.metrics.increment('queue.holds', 1, { group: this.group });
        this.queue.putBack(request, nowMs);
        this.hasFreedPlace = true;
        return isClosed;
      }
    }
    this.waiters.delete(key);
    if (reservation === undefined) {
      // The request is refused on its way.
      this.queue.cancelSend(request, nowMs);
      this.hasFreedPlace = true;
    } else {
      const { route } = call;
      this.sent.set(key, { route, sentAtMs: nowMs, hasResponded: false });
    }
    const waitedMs = nowMs - call.receivedAtMs;
    const { metrics } = this.deps;
    metrics.timingMs('queue.wait', waitedMs, { group: this.group });
    resolve(reservation);
    return isClosed;
  }

  /**
   * Ends the first waits of a daemon that reaches no endpoint, in the order of
   * arrival: it knows nothing of their capacity, and peers serve the requests. These
   * take no places of the group. Returns whether others wait.
   */
  private passOn(nowMs: number): boolean {
    for (const [key, waiter] of [...this.waiters].slice(0, MAX_PASS_REQUESTS)) {
      this.queue.remove(key);
      if (!this.isAdmitted(key, waiter)) continue;
      this.waiters.delete(key);
      try {
        waiter.resolve(waiter.reserve(nowMs));
      } catch (error) {
        waiter.reject(error);
      }
    }
    return this.waiters.size > 0;
  }

  /** Whether the group has endpoints, and none of them may be sent a request now. */
  private isClosedForNow(nowMs: number): boolean {
    const { openSlots, totalSlots } = this.room(nowMs);
    return totalSlots > 0 && openSlots === 0;
  }

  /** Ends the wait of a request whose caller has left or whose deadline has passed. */
  private leave(key: string): void {
    this.queue.remove(key);
    this.takeWaiter(key)?.resolve(undefined);
  }

  private takeWaiter(key: string): Waiter | undefined {
    const waiter = this.waiters.get(key);
    this.waiters.delete(key);
    return waiter;
  }

  /** Refuses waiting requests whose route or workspace a new configuration lacks. */
  private recheckAfterChange(): void {
    const version = this.deps.configurationVersion();
    if (version === this.checkedVersion) return;
    this.checkedVersion = version;
    this.recheckWaiting();
  }

  /** Checks a request again that has waited; ends its wait with the error if it is no longer admitted. */
  private isAdmitted(key: string, { call, reject }: Waiter): boolean {
    try {
      call.recheck();
      return true;
    } catch (error) {
      this.waiters.delete(key);
      reject(error);
      return false;
    }
  }

  /** Looks at the queue at intervals while requests wait: one timer for all of them. */
  private async runTimer(): Promise<void> {
    if (this.isTimerRunning) return;
    this.isTimerRunning = true;
    const { clock, nextPoll } = this.deps;
    while (this.waiters.size > 0) {
      await clock.waitUntil(clock.nowMs() + ADVANCE_INTERVAL_MS);
      // After a pause of the process, callers that have left are found first.
      await nextPoll();
      this.advanceWaiting();
    }
    this.isTimerRunning = false;
    this.report(clock.nowMs());
  }

  private refuse(
    decision: QueueDecision & { readonly kind: QueueDecisionKind.Refuse },
    { requestId, route }: GatedCall,
    nowMs: number,
  ): ForwardError {
    const { log, metrics } = this.deps;
    const { reason, retryInMs } = decision;
    const { group, queue } = this;
    metrics.increment('queue.refusals', 1, { group, reason });
    log.info(LogComponent.Forwarding, 'A queue has refused a request.', {
      requestId,
      group,
      route,
      reason,
      retryInMs: Math.round(retryInMs),
      waiting: queue.length,
      inFlight: queue.inFlight,
      inFlightLimit: Math.round(queue.inFlightLimit(nowMs)),
    });
    if (reason === QueueRefusal.Stopping) return daemonStoppingError();
    return new ForwardError(
      ForwardErrorKind.Overloaded,
      `The endpoints of group ${group} are overloaded; send the request again later.`,
      retryInMs,
    );
  }

  private report(nowMs: number): void {
    const { metrics } = this.deps;
    const { group, queue } = this;
    const tags = { group };
    metrics.gauge('queue.waiting', queue.length, tags);
    metrics.gauge('queue.inFlight', queue.inFlight, tags);
    metrics.gauge('queue.inFlightLimit', queue.inFlightLimit(nowMs), tags);
  }
}
