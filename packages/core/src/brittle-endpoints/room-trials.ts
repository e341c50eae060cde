import { hash32 } from '../routing/index.js';
import type { DispatchWindow, RunningDispatch } from './dispatch-window.js';

/** Time without trials after one was rejected; doubles with each further one. */
const MIN_BACK_OFF_MS = 3_000; // longer than the load of most peers takes to arrive
const MAX_BACK_OFF_MS = 24_000;
/** Time for which the same daemons may make trials. */
const TURN_MS = 4_000;
const HASH_RANGE = 2 ** 32;

/** Requests to endpoints of one group that seem to have room, beyond the rejections that this daemon may cause. */
export class RoomTrials {
  private resumeAtMs: number;
  private backOffMs = MIN_BACK_OFF_MS;
  private window: DispatchWindow | undefined;
  private dispatch: RunningDispatch | undefined;

  constructor(
    private readonly daemonId: string,
    private readonly group: string,
    startedAtMs: number,
  ) {
    this.resumeAtMs = startedAtMs + MIN_BACK_OFF_MS;
  }

  /** Returns whether no trial was rejected lately. */
  hasConfidence(nowMs: number): boolean {
    return nowMs >= this.resumeAtMs;
  }

  /** Returns whether this daemon may make a trial now, where a share of all daemons may at a time. */
  mayStart(shareOfDaemons: number, nowMs: number): boolean {
    const isPending =
      this.dispatch !== undefined &&
      this.window?.isOpen(this.dispatch) === true;
    if (isPending) return false;
    const turn = Math.floor(nowMs / TURN_MS);
    const score = hash32(`${this.daemonId} ${this.group} ${turn}`);
    return score / HASH_RANGE < shareOfDaemons;
  }

  start(window: DispatchWindow, dispatch: RunningDispatch): void {
    this.window = window;
    this.dispatch = dispatch;
  }

  recordResult(isRejection: boolean, nowMs: number): void {
    if (!isRejection) {
      this.backOffMs = Math.max(MIN_BACK_OFF_MS, this.backOffMs / 2);
      return;
    }
    this.resumeAtMs = nowMs + this.backOffMs;
    this.backOffMs = Math.min(MAX_BACK_OFF_MS, this.backOffMs * 2);
  }
}
