import type { EndpointRecord } from '../forwarding/index.js';

/** Why an endpoint counts as cold. */
export enum ColdReason {
  /** Its incarnation says that it is new. */
  Started = 'started',
  /** Earlier lists lacked it. */
  Appeared = 'appeared',
  Entry = 'entry',
  Response = 'response',
  Peer = 'peer',
  ConnectionFailure = 'connectionFailure',
  EvacuationEnd = 'evacuationEnd',
}

/** What the rules need to know besides the endpoint. */
export interface ColdContext {
  readonly nowMs: number;
  /** Milliseconds since the Unix epoch, by the clock on which most daemons agree. */
  readonly timeMs: number;
  /** Time for which an endpoint is cold after it has started. */
  readonly durationMs: number;
  /** Returns the latest start of a read that confirms the list in use. */
  readonly listConfirmedAtMs: () => number;
  /** Latest end of an evacuation of the endpoint's data centre; -Infinity if there was none. */
  readonly evacuationEndedAtMs: number;
}

/** Time after which an endpoint is looked at again that a list has yet to show as warm. */
const RECHECK_MS = 1_000; // about the time between two reads of the list

/** What a daemon knows of the cold time of one incarnation of an endpoint. */
export class ColdEndpoint {
  /** Whether the newest list shows it. */
  isListed = true;
  /** Time at which the newest list that shows it was applied. */
  listedAtMs: number;
  private readAtMs = -Infinity;
  private isListedCold = false;
  private listedUntilMs = -Infinity;
  private statedUntilMs = -Infinity;
  /** Since the Unix epoch. */
  private peersUntilMs = -Infinity;
  private failedAtMs = -Infinity;

  /** `startedAtMs` is when it says that it started, `appearedAtMs` when it was first listed after lists without it; -Infinity if that is long ago or not known. */
  constructor(
    readonly record: EndpointRecord,
    private readonly startedAtMs: number,
    private readonly appearedAtMs: number,
    nowMs: number,
  ) {
    this.listedAtMs = nowMs;
  }

  isSameIncarnation({ address, bornAtMs }: EndpointRecord): boolean {
    return this.record.address === address && this.record.bornAtMs === bornAtMs;
  }

  /** Applies its entry in a list whose read began at `readAtMs`. */
  applyEntry(
    { coldRemainingMs }: EndpointRecord,
    readAtMs: number,
    nowMs: number,
  ): void {
    this.isListed = true;
    this.listedAtMs = nowMs;
    this.readAtMs = Math.max(this.readAtMs, readAtMs);
    this.isListedCold = coldRemainingMs > 0;
    this.listedUntilMs = nowMs + coldRemainingMs;
  }

  recordStatement(untilMs: number): void {
    this.statedUntilMs = Math.max(this.statedUntilMs, untilMs);
  }

  /** Records what a peer says, in milliseconds since the Unix epoch. */
  recordPeerStatement(untilMs: number): void {
    this.peersUntilMs = Math.max(this.peersUntilMs, untilMs);
  }

  recordConnectionFailure(nowMs: number): void {
    this.failedAtMs = nowMs;
  }

  /** Returns for how long the endpoint still counts as cold, by the condition that lasts longest; 0 if it is not cold. */
  remainingMs(context: ColdContext): number {
    return Math.max(
      0,
      this.certainUntilMs(context) - context.timeMs,
      this.appearedAtMs + context.durationMs - context.nowMs,
      this.suspectedForMs(this.failedAtMs, context),
      this.suspectedForMs(context.evacuationEndedAtMs, context),
    );
  }

  /** Returns the condition that lasts longest. */
  reason(context: ColdContext): ColdReason {
    const { durationMs, evacuationEndedAtMs, nowMs, timeMs } = context;
    const remaining: readonly (readonly [ColdReason, number])[] = [
      [ColdReason.Started, this.startedAtMs + durationMs - nowMs],
      [ColdReason.Appeared, this.appearedAtMs + durationMs - nowMs],
      [ColdReason.Entry, this.listedUntilMs - nowMs],
      [ColdReason.Response, this.statedUntilMs - nowMs],
      [ColdReason.Peer, this.peersUntilMs - timeMs],
      [
        ColdReason.ConnectionFailure,
        this.suspectedForMs(this.failedAtMs, context),
      ],
      [
        ColdReason.EvacuationEnd,
        this.suspectedForMs(evacuationEndedAtMs, context),
      ],
    ];
    const [reason] = remaining.reduce((longest, each) =>
      each[1] > longest[1] ? each : longest,
    );
    return reason;
  }

  /**
   * Returns the end of the cold time as far as it is certain, for peers, in
   * milliseconds since the Unix epoch. What this daemon only infers is left out:
   * one that was cut off would make all endpoints cold for all daemons.
   */
  certainUntilMs({ durationMs, nowMs, timeMs }: ColdContext): number {
    const untilMs = Math.max(
      this.startedAtMs + durationMs,
      this.listedUntilMs,
      this.statedUntilMs,
    );
    return Math.max(this.peersUntilMs, untilMs - nowMs + timeMs);
  }

  /** Returns for how long the endpoint counts as cold that may have started again at `sinceMs`. */
  private suspectedForMs(
    sinceMs: number,
    { durationMs, listConfirmedAtMs, nowMs }: ColdContext,
  ): number {
    if (sinceMs === -Infinity) return 0;
    const atLeastMs = sinceMs + durationMs - nowMs;
    // Remembered, as it takes long to work out which read was the latest.
    if (this.isListed && this.readAtMs <= sinceMs)
      this.readAtMs = Math.max(this.readAtMs, listConfirmedAtMs());
    const isShownWarm = !this.isListedCold && this.readAtMs > sinceMs;
    return isShownWarm ? atLeastMs : Math.max(RECHECK_MS, atLeastMs);
  }
}
