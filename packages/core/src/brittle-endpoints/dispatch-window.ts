/** Time in which an endpoint's rejections count. */
const WINDOW_MS = 1_000;
/** Time after which a request that an endpoint has not rejected is accepted, if the endpoint responds at all. */
const SETTLE_MS = 50; // many round trips
/** Time for which a slot that a request of this daemon has left is taken to be free. */
const FREED_MS = 100; // a busy daemon has the next request by then
/** Time constant of the average of the running requests. */
const AVERAGE_MS = 1_000; // peers are told of them in about this time

/** A request that is running at the endpoint. */
export interface RunningDispatch {
  readonly sentAtMs: number;
  hasResponse: boolean;
  isRejected: boolean;
}

/** Requests that this daemon has sent to one endpoint, by which it bounds the rejections that it causes there. */
export class DispatchWindow {
  private readonly running = new Set<RunningDispatch>();
  private rejectedAtMs: number[] = [];
  private respondedAtMs = -Infinity;
  /** Times at which requests of this daemon left slots that it has not used again. */
  private freedAtMs: number[] = [];
  private averageRunning = 0;
  private averagedAtMs = -Infinity;

  add(nowMs: number): RunningDispatch {
    this.updateAverage(nowMs);
    const dispatch = { sentAtMs: nowMs, hasResponse: false, isRejected: false };
    this.running.add(dispatch);
    this.freedAtMs.shift();
    return dispatch;
  }

  recordResponse(
    dispatch: RunningDispatch,
    isRejection: boolean,
    nowMs: number,
  ): void {
    dispatch.hasResponse = true;
    this.respondedAtMs = nowMs;
    if (!isRejection) return;
    dispatch.isRejected = true;
    this.rejectedAtMs.push(nowMs);
    this.freedAtMs = [];
  }

  end(dispatch: RunningDispatch, nowMs: number): void {
    this.updateAverage(nowMs);
    const isUnknown = this.isUnconfirmed(dispatch);
    if (!this.running.delete(dispatch)) return;
    // Its response may have been a rejection that was lost.
    if (isUnknown) this.rejectedAtMs.push(nowMs);
    else if (!dispatch.isRejected) this.freedAtMs.push(nowMs);
  }

  /** Returns whether a request of this daemon has just left a slot that it has not used again. */
  hasFreedSlot(nowMs: number): boolean {
    if (this.freedAtMs.length === 0) return false;
    this.freedAtMs = this.freedAtMs.filter(atMs => nowMs - atMs < FREED_MS);
    return this.freedAtMs.length > 0;
  }

  /**
   * Returns whether one more request keeps the rejections of a second within
   * `maxRejections`, and the requests that an endpoint has not confirmed within
   * `maxUnconfirmed`: it may be silent, and reject them once it responds.
   */
  mayRiskOne(
    maxRejections: number,
    maxUnconfirmed: number,
    nowMs: number,
  ): boolean {
    let undecided = this.recentRejections(nowMs);
    let unconfirmed = 0;
    for (const dispatch of this.running) {
      if (!this.isUnconfirmed(dispatch)) continue;
      if (nowMs - dispatch.sentAtMs < SETTLE_MS) undecided += 1;
      else unconfirmed += 1;
    }
    return undecided < maxRejections && unconfirmed < maxUnconfirmed;
  }

  /** Returns whether a request is running and not known to be accepted. */
  isOpen(dispatch: RunningDispatch): boolean {
    return this.running.has(dispatch) && this.isUnconfirmed(dispatch);
  }

  recentRejections(nowMs: number): number {
    if (this.rejectedAtMs.length === 0) return 0;
    this.rejectedAtMs = this.rejectedAtMs.filter(
      atMs => nowMs - atMs < WINDOW_MS,
    );
    return this.rejectedAtMs.length;
  }

  /** Returns the time until one more request may be within the bound. */
  untilLessRiskMs(nowMs: number): number {
    const [oldestAtMs] = this.rejectedAtMs;
    const rejectionMs = (oldestAtMs ?? Infinity) + WINDOW_MS - nowMs;
    return Math.max(1, Math.min(rejectionMs, SETTLE_MS));
  }

  /** Returns by how much the running requests have grown since peers were told of them. */
  growth(nowMs: number): number {
    this.updateAverage(nowMs);
    return Math.max(0, this.running.size - this.averageRunning);
  }

  /** Returns whether the endpoint has shown no sign that it has accepted a request. */
  private isUnconfirmed({ hasResponse, sentAtMs }: RunningDispatch): boolean {
    return !hasResponse && this.respondedAtMs < sentAtMs + SETTLE_MS;
  }

  private updateAverage(nowMs: number): void {
    const elapsedMs = nowMs - this.averagedAtMs;
    const weight = 1 - Math.exp(-elapsedMs / AVERAGE_MS);
    this.averageRunning += weight * (this.running.size - this.averageRunning);
    this.averagedAtMs = nowMs;
  }
}
