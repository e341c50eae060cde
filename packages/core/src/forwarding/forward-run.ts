import type { LogFields } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { RetryBudget } from '../routing/index.js';
import { attemptTimeouts } from './attempt-timeouts.js';
import { RouteType } from './configuration.js';
import type { AttemptOutcome, BufferedResponse } from './forward-attempt.js';
import {
  AttemptEndKind,
  ForwardAttempt,
  isEndpointError,
  isFailure,
} from './forward-attempt.js';
import type { ForwardError } from './forward-error.js';
import type { ForwardRequest } from './forward-request.js';
import type { ForwarderDependencies } from './forwarder.js';
import type { PoolQuery } from './pool-query.js';
import type { PoolReservation } from './pool-reservation.js';
import type { ResolvedRequest } from './resolve-request.js';
import { toForwardError } from './run-failure.js';
import { StreamRelay } from './stream-relay.js';
import type { ResponseWriter } from './upstream.js';

/** Outcome of a request that an endpoint answered or whose caller disconnected. */
export enum RunOutcome {
  Pending = 'pending',
  Answered = 'answered',
  /** The endpoint's own error response was forwarded to the caller. */
  EndpointError = 'endpointError',
  CallerDisconnected = 'callerGone',
  /** The response was aborted after its start. */
  Truncated = 'brokenOff',
}

export interface RunContext {
  readonly request: ForwardRequest;
  readonly resolved: ResolvedRequest;
  /** Ids of what may be at fault if an endpoint crashes. */
  readonly suspectIds: readonly string[];
  readonly group: string;
  readonly budget: RetryBudget;
}

/** Number of unreachable endpoints after which the request fails. */
const MAX_UNSENT_ATTEMPTS = 3;
/** Minimum time before the deadline for which another attempt is worth its cost. */
const MIN_TIME_FOR_ATTEMPT_MS = 20;

/** Execution of one request by one or more attempts at endpoints. */
export class ForwardRun {
  outcome = RunOutcome.Pending;
  private readonly deadlineAtMs: number;
  private readonly runAbort = new AbortController();
  private readonly excluded = new Set<string>();
  /** Endpoints to which the request may have been written. */
  private readonly reached = new Set<string>();
  private readonly relay: StreamRelay | undefined;
  /** Number of attempts that reached their endpoint; unsent and misdirected ones do not count. */
  private attempts = 0;
  private unsentAttempts = 0;
  private isTimedOut = false;
  private mayHaveRun = false;
  private isUsageCounted = false;
  private firstResponseAtMs: number | undefined;
  private lastEndpointId = '';
  /** Time from the request's arrival to the dispatch of its last attempt. */
  private dispatchedAfterMs = 0;
  /** Rate limit that the last attempt's endpoint named. */
  private limitPerSecond: number | undefined;
  /** Age of the endpoint list at the dispatch of the last attempt. */
  private endpointListAgeMs = 0;

  constructor(
    private readonly deps: ForwarderDependencies,
    private readonly context: RunContext,
    private readonly sink: ResponseWriter,
  ) {
    const { resolved, request } = context;
    const { route } = resolved;
    const callerTimeoutMs = request.metadata.callerTimeoutMs ?? Infinity;
    this.deadlineAtMs =
      request.receivedAtMs + Math.min(callerTimeoutMs, route.timeoutMs);
    if (route.type !== RouteType.Streaming) return;
    this.relay = new StreamRelay(
      sink,
      headers => deps.protocol.responseHeaders(headers),
      request.metadata.lastEventId,
      () => {
        this.recordStarted(0);
      },
    );
  }

  /** Resolves once the response is sent or the caller has disconnected. Throws `ForwardError` only before any part of the response is sent. */
  async serve(signal: AbortSignal): Promise<void> {
    this.context.budget.recordFirstAttempt();
    const onCallerDisconnect = () => {
      this.runAbort.abort();
    };
    signal.addEventListener('abort', onCallerDisconnect, { once: true });
    const timer = this.startTimer();
    try {
      await this.runAttempts(signal);
    } finally {
      signal.removeEventListener('abort', onCallerDisconnect);
      timer.abort();
    }
  }

  summary(): LogFields {
    const { request } = this.context;
    const fields = {
      group: this.context.group,
      endpoint: this.lastEndpointId,
      attempts: this.attempts,
      mayHaveRun: this.mayHaveRun,
      dispatchedAfterMs: Math.round(this.dispatchedAfterMs),
      endpointListAgeMs: Math.round(this.endpointListAgeMs),
      ...(this.relay && {
        events: this.relay.attemptEvents,
        isFramed: this.relay.isAttemptFramed,
      }),
      ...(this.limitPerSecond !== undefined && {
        limitPerSecond: this.limitPerSecond,
      }),
    };
    if (this.firstResponseAtMs === undefined) return fields;
    const firstAnswerMs = this.firstResponseAtMs - request.receivedAtMs;
    return { ...fields, firstAnswerMs: Math.round(firstAnswerMs) };
  }

  private async runAttempts(signal: AbortSignal): Promise<void> {
    let response: BufferedResponse | undefined;
    let last: AttemptOutcome | undefined;
    do {
      const reservation = this.reserveEndpoint();
      if (reservation === undefined) break;
      last = await this.attempt(reservation);
      if (signal.aborted) {
        this.outcome = RunOutcome.CallerDisconnected;
        return;
      }
      response = last.response ?? response;
    } while (this.mayRetry(last));
    if (last?.kind === AttemptEndKind.Answered && last.response === undefined) {
      this.outcome = RunOutcome.Answered;
      return;
    }
    if (this.relay?.hasStarted === true) {
      this.outcome = RunOutcome.Truncated;
      this.sink.destroy();
      return;
    }
    if (response === undefined) throw this.createError(last);
    this.sendResponse(response);
  }

  private async attempt(reservation: PoolReservation): Promise<AttemptOutcome> {
    const { resolved, request } = this.context;
    const { endpoint } = reservation;
    const { clock, pool, protocol, versions } = this.deps;
    const sentAtMs = clock.nowMs();
    this.lastEndpointId = endpoint.id;
    this.dispatchedAfterMs = sentAtMs - request.receivedAtMs;
    this.endpointListAgeMs = this.deps.endpointListAgeMs();
    this.attempts += 1;
    const observation = versions.observe({
      group: endpoint.group,
      version: endpoint.version,
      route: resolved.route.name,
    });
    const attempt = new ForwardAttempt(this.deps, reservation, {
      ...attemptTimeouts(resolved.route, this.isRepeatable()),
      observation,
      requestId: request.requestId,
      stream: this.relay,
      signal: this.runAbort.signal,
    });
    const result = await attempt.run({
      endpoint,
      method: request.method,
      target: request.target,
      body: request.body,
      isEndpointUsable: () => pool.isReady(endpoint.id, clock.nowMs()),
      headers: protocol.dispatchHeaders(request.headers, {
        remainingMs: Math.max(1, Math.floor(this.deadlineAtMs - sentAtMs)),
        endpointId: endpoint.id,
        workspace: resolved.workspace?.workspace,
        lastEventId: this.relay?.lastEventId,
        urgency: undefined,
      }),
    });
    this.limitPerSecond = attempt.limitPerSecond;
    this.recordResult(result, reservation, sentAtMs);
    const { suspectIds } = this.context;
    const { requestId } = request;
    void this.deps.crashDetector.inspect(
      { requestId, suspectIds, endpoint, sentAtMs },
      result,
    );
    observation.end(isFailure(result));
    return result;
  }

  private recordResult(
    result: AttemptOutcome,
    { endpoint }: PoolReservation,
    sentAtMs: number,
  ): void {
    const { clock, log, metrics, pool } = this.deps;
    const nowMs = clock.nowMs();
    this.excluded.add(endpoint.id);
    if (result.kind !== AttemptEndKind.NotSent) this.reached.add(endpoint.id);
    switch (result.kind) {
      case AttemptEndKind.NotSent:
        this.attempts -= 1;
        this.unsentAttempts += 1;
        break;
      case AttemptEndKind.Misdirected:
        this.attempts -= 1;
        pool.recordMisdirected(endpoint.id, nowMs);
        break;
      case AttemptEndKind.NotRun:
        break;
      case AttemptEndKind.Answered:
        if (result.response !== undefined) this.recordStarted(nowMs - sentAtMs);
        break;
      case AttemptEndKind.Failed:
      case AttemptEndKind.Silent:
      case AttemptEndKind.Cancelled:
        this.mayHaveRun = true;
    }
    metrics.increment('attempts', 1, { end: result.kind });
    if (result.kind === AttemptEndKind.Answered) return;
    log.info(LogComponent.Forwarding, 'An attempt gave no answer.', {
      requestId: this.context.request.requestId,
      endpoint: endpoint.id,
      end: result.kind,
      reason: result.reason ?? '',
      elapsedMs: Math.round(nowMs - sentAtMs),
      attempts: this.attempts,
    });
  }

  private mayRetry(result: AttemptOutcome): boolean {
    const { budget, resolved, suspectIds } = this.context;
    const remainingMs = this.deadlineAtMs - this.deps.clock.nowMs();
    if (this.isTimedOut || remainingMs < MIN_TIME_FOR_ATTEMPT_MS) return false;
    if (this.deps.crashGuard.blockedForMs(suspectIds) !== undefined)
      return false;
    const hasAttemptsLeft = this.attempts < resolved.route.maxAttempts;
    switch (result.kind) {
      case AttemptEndKind.NotSent:
        return this.unsentAttempts < MAX_UNSENT_ATTEMPTS;
      case AttemptEndKind.Misdirected:
      case AttemptEndKind.NotRun:
        return hasAttemptsLeft && budget.tryAcquire();
      case AttemptEndKind.Answered:
        if (!isEndpointError(result.response)) return false;
        return this.isRepeatable() && hasAttemptsLeft && budget.tryAcquire();
      case AttemptEndKind.Failed:
      case AttemptEndKind.Silent:
        return this.isRepeatable() && hasAttemptsLeft && budget.tryAcquire();
      case AttemptEndKind.Cancelled:
        return false;
    }
  }

  private isRepeatable(): boolean {
    const { isResumable, type } = this.context.resolved.route;
    return type === RouteType.Idempotent || isResumable;
  }

  /**
   * Reserves an endpoint that was not tried, or any if all were tried. A request
   * that may not be repeated never returns to an endpoint that it reached: a copy
   * of the endpoint's refusal could be taken for the answer to the second attempt.
   */
  private reserveEndpoint(): PoolReservation | undefined {
    const { clock, pool, versions } = this.deps;
    const { group, request } = this.context;
    const { promptParts, usage } = request.metadata;
    const isFirst = this.excluded.size === 0;
    const rule = isFirst
      ? versions.choose(group)
      : versions.chooseForRetry(group);
    const query: PoolQuery = {
      group,
      excluded: this.excluded,
      promptParts,
      promptTokens: usage?.promptTokens ?? 0,
      ...(rule.only === undefined ? {} : { onlyVersion: rule.only }),
      ...(rule.not === undefined ? {} : { notVersion: rule.not }),
    };
    const nowMs = clock.nowMs();
    const reserved =
      pool.reserve(query, nowMs) ??
      (isFirst
        ? undefined
        : pool.reserve({ ...query, excluded: this.barred() }, nowMs));
    if (reserved !== undefined || rule.only === undefined) return reserved;
    // The version on trial has no usable endpoint; fall back to any other version.
    const { onlyVersion, ...rest } = query;
    return pool.reserve({ ...rest, notVersion: onlyVersion ?? '' }, nowMs);
  }

  /** Returns the endpoints that the request must not be sent to again. */
  private barred(): ReadonlySet<string> {
    return this.isRepeatable() ? new Set() : this.reached;
  }

  private sendResponse(response: BufferedResponse): void {
    const { protocol } = this.deps;
    this.outcome = isEndpointError(response)
      ? RunOutcome.EndpointError
      : RunOutcome.Answered;
    const headers = protocol.responseHeaders(response.headers);
    this.sink.begin(response.status, headers, response.isFramed);
    void this.sink.write(response.body);
    this.sink.end();
  }

  private createError(last: AttemptOutcome | undefined): ForwardError {
    const { isTimedOut, mayHaveRun } = this;
    const { clock, pool } = this.deps;
    const { group } = this.context;
    return toForwardError({
      group,
      isTimedOut,
      mayHaveRun,
      last: last?.kind,
      limitedForMs: () => pool.scheduleReturnMs(group, clock.nowMs()),
      busyForMs: () => pool.busyForMs(group, clock.nowMs()),
    });
  }

  /** Records that an endpoint has started the request, and counts it once for its workspace. */
  private recordStarted(startedAgoMs: number): void {
    this.firstResponseAtMs ??= this.deps.clock.nowMs();
    if (this.isUsageCounted) return;
    this.isUsageCounted = true;
    const { workspace } = this.context.resolved;
    if (workspace === undefined) return;
    this.deps.usageCounter.count(workspace.workspace, startedAgoMs);
  }

  /** Aborts the run at its deadline. Aborting the returned controller cancels the timer. */
  private startTimer(): AbortController {
    const timerAbort = new AbortController();
    this.deps.clock.waitUntil(this.deadlineAtMs, timerAbort.signal).then(
      () => {
        this.isTimedOut = true;
        this.runAbort.abort();
      },
      () => undefined, // the run ended before its deadline
    );
    return timerAbort;
  }
}
