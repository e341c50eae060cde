import type { Clock, Log, Metrics } from '../ports/index.js';
import {
  AnswerLostError,
  LogComponent,
  noopLog,
  noopMetrics,
} from '../ports/index.js';
import type {
  DutyApi,
  DutyCallTerms,
  DutyLease,
  FencingToken,
  ReportOutcome,
  ScalingOrder,
  ScalingOutcome,
  UsageReport,
} from './duty-api.js';

export interface DutyCallTrackerDependencies {
  readonly api: DutyApi;
  readonly lease: DutyLease;
  /** Time after which another daemon can hold a lease that is not renewed. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly log?: Log;
  readonly metrics?: Metrics;
}

enum CallEnd {
  Answered = 'answered',
  /** The platform may have received the call, or may receive it later. */
  AnswerLost = 'answerLost',
  Failed = 'failed',
}

/** Passes calls on to the platform while the lease is held, and keeps track of those in progress. */
export class DutyCallTracker implements DutyApi {
  private readonly api: DutyApi;
  private readonly lease: DutyLease;
  private readonly leaseMs: number;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly metrics: Metrics;
  private readonly callsInProgress = new Set<Promise<unknown>>();
  /** Time until which a call whose answer was lost counts as able to arrive. */
  private mayArriveUntilMs = -Infinity;

  constructor({
    api,
    clock,
    lease,
    leaseMs,
    log = noopLog,
    metrics = noopMetrics,
  }: DutyCallTrackerDependencies) {
    this.api = api;
    this.clock = clock;
    this.lease = lease;
    this.leaseMs = leaseMs;
    this.log = log;
    this.metrics = metrics;
  }

  reportUsage(
    report: UsageReport,
    terms: DutyCallTerms,
  ): Promise<ReportOutcome> {
    const subject = `usage of window ${report.windowId}`;
    return this.track(subject, terms, checkedTerms =>
      this.api.reportUsage(report, checkedTerms),
    );
  }

  orderEndpoints(
    order: ScalingOrder,
    terms: DutyCallTerms,
  ): Promise<ScalingOutcome> {
    const subject = `order for ${order.group} in ${order.dataCentre}`;
    return this.track(subject, terms, checkedTerms =>
      this.api.orderEndpoints(order, checkedTerms),
    );
  }

  /**
   * Resolves once the calls in progress have ended. Returns false if the answer
   * to one of them, or to one in the last lease, was lost: it may still arrive at
   * the platform.
   */
  async settle(): Promise<boolean> {
    await Promise.allSettled(this.callsInProgress);
    return this.clock.nowMs() >= this.mayArriveUntilMs;
  }

  private async track<Result>(
    subject: string,
    terms: DutyCallTerms,
    send: (terms: DutyCallTerms) => Promise<Result>,
  ): Promise<Result> {
    const startedAtMs = this.clock.nowMs();
    const result = send({
      ...terms,
      deadlineAtMs: Math.min(terms.deadlineAtMs, this.lease.callsEndAtMs()),
      mayWrite: () => this.isHeld(terms.token),
    });
    this.callsInProgress.add(result);
    try {
      const answer = await result;
      this.recordEnd(CallEnd.Answered);
      return answer;
    } catch (error) {
      const isLost = error instanceof AnswerLostError;
      this.recordEnd(isLost ? CallEnd.AnswerLost : CallEnd.Failed);
      if (isLost) this.recordLost(subject, terms.token, startedAtMs);
      throw error;
    } finally {
      this.callsInProgress.delete(result);
    }
  }

  private isHeld({ fencingNumber }: FencingToken): boolean {
    return this.lease.currentToken()?.fencingNumber === fencingNumber;
  }

  private recordEnd(end: CallEnd): void {
    this.metrics.increment('duties.calls', 1, { end });
  }

  private recordLost(
    subject: string,
    { fencingNumber }: FencingToken,
    startedAtMs: number,
  ): void {
    const nowMs = this.clock.nowMs();
    this.mayArriveUntilMs = nowMs + this.leaseMs;
    this.log.warn(
      LogComponent.Duties,
      'A call to the platform has no answer, and may still arrive there.',
      {
        subject,
        fencingNumber,
        afterMs: Math.round(nowMs - startedAtMs),
      },
    );
  }
}
