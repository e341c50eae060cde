import type { LogFields } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { attemptTimeouts } from './attempt-timeouts.js';
import { callAt } from './call-at.js';
import { RouteType } from './configuration.js';
import type { PoolReservation } from './endpoint-pool.js';
import type { AttemptOutcome, BufferedResponse } from './forward-attempt.js';
import {
  AttemptEndKind,
  ForwardAttempt,
  isEndpointError,
  isFailure,
} from './forward-attempt.js';
import type { ForwardError } from './forward-error.js';
import type { ForwarderDependencies } from './forwarder.js';
import { runPeerAttempt } from './peer-attempt.js';
import { reserveEndpoint } from './reserve-endpoint.js';
import type { RunContext } from './run-context.js';
import { RunOutcome } from './run-context.js';
import { toForwardError } from './run-failure.js';
import { RunReport } from './run-report.js';
import { StreamRelay } from './stream-relay.js';
import type { ResponseWriter } from './upstream.js';

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
  private readonly report = new RunReport();

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
    for (const id of context.relayed?.excludedIds ?? []) {
      this.excluded.add(id);
      this.reached.add(id);
    }
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
    const { budget, relayed } = this.context;
    if (relayed === undefined) budget.recordFirstAttempt();
    const onCallerDisconnect = () => {
      this.runAbort.abort();
    };
    signal.addEventListener('abort', onCallerDisconnect, { once: true });
    const timer = callAt(this.deps.clock, this.deadlineAtMs, () => {
      this.isTimedOut = true;
      this.runAbort.abort();
    });
    try {
      await this.runAttempts(signal);
    } finally {
      signal.removeEventListener('abort', onCallerDisconnect);
      timer.abort();
    }
  }

  summary(): LogFields {
    const { attempts, mayHaveRun } = this;
    const { group } = this.context;
    return { group, attempts, mayHaveRun, ...this.report.fields(this.relay) };
  }

  private async runAttempts(signal: AbortSignal): Promise<void> {
    let response: BufferedResponse | undefined;
    let last: AttemptOutcome | undefined;
    do {
      const next = await this.attemptNext();
      if (next === undefined) break;
      last = next;
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

  /** Makes an attempt at an endpoint, or through a peer if this daemon reaches no endpoint. Resolves with undefined if there is no way to make one. */
  private async attemptNext(): Promise<AttemptOutcome | undefined> {
    const { clock, requestRelay } = this.deps;
    const { group, relayed } = this.context;
    if (requestRelay.isUnreachable(group)) {
      if (relayed !== undefined) return undefined;
      const peer = requestRelay.reserve(group, this.excluded, clock.nowMs());
      if (peer !== undefined) return this.attemptThrough(peer);
      const isExhausted = this.unsentAttempts >= MAX_UNSENT_ATTEMPTS;
      if (isExhausted || this.report.peerId !== undefined) return undefined;
    }
    const reservation = this.reserveEndpoint();
    return reservation && this.attempt(reservation);
  }

  private async attemptThrough(
    reservation: PoolReservation,
  ): Promise<AttemptOutcome> {
    const { resolved, request } = this.context;
    const sentAtMs = this.deps.clock.nowMs();
    this.report.peerId = reservation.endpoint.id;
    this.report.dispatchedAfterMs = sentAtMs - request.receivedAtMs;
    this.attempts += 1;
    const result = await runPeerAttempt({
      ...this.deps,
      reservation,
      relayed: {
        request,
        remainingMs: this.remainingMs(sentAtMs),
        lastEventId: this.relay?.lastEventId,
        excludedIds: [...this.excluded],
      },
      options: {
        ...attemptTimeouts(resolved.route, this.isRepeatable()),
        stream: this.relay,
        signal: this.runAbort.signal,
      },
      onEndpoint: id => {
        this.report.endpointId = id;
        this.excluded.add(id);
        this.reached.add(id);
      },
    });
    this.recordResult(result, reservation, sentAtMs);
    return result;
  }

  private async attempt(reservation: PoolReservation): Promise<AttemptOutcome> {
    const { resolved, request } = this.context;
    const { endpoint } = reservation;
    const { clock, pool, protocol, versions } = this.deps;
    const sentAtMs = clock.nowMs();
    this.report.endpointId = endpoint.id;
    this.report.dispatchedAfterMs = sentAtMs - request.receivedAtMs;
    this.report.endpointListAgeMs = this.deps.endpointListAgeMs();
    this.attempts += 1;
    this.context.relayed?.onDispatch(endpoint.id);
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
    const stopListening = this.isRepeatable()
      ? this.deps.requestRelay.onSilence(endpoint.group, () => {
          attempt.abandon();
        })
      : undefined;
    const result = await attempt.run({
      endpoint,
      method: request.method,
      target: request.target,
      body: request.body,
      isEndpointUsable: () => pool.isReady(endpoint.id, clock.nowMs()),
      headers: protocol.dispatchHeaders(request.headers, {
        remainingMs: this.remainingMs(sentAtMs),
        endpointId: endpoint.id,
        workspace: resolved.workspace?.workspace,
        lastEventId: this.relay?.lastEventId,
        urgency: undefined,
      }),
    });
    stopListening?.();
    this.report.limitPerSecond = attempt.limitPerSecond;
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
    const { budget, group, suspectIds } = this.context;
    const remainingMs = this.deadlineAtMs - this.deps.clock.nowMs();
    if (this.isTimedOut || remainingMs < MIN_TIME_FOR_ATTEMPT_MS) return false;
    if (this.deps.crashGuard.blockedForMs(suspectIds) !== undefined)
      return false;
    const hasAttemptsLeft = this.attempts < this.maxAttempts();
    switch (result.kind) {
      case AttemptEndKind.NotSent:
        return (
          this.unsentAttempts < MAX_UNSENT_ATTEMPTS ||
          (this.unsentAttempts === MAX_UNSENT_ATTEMPTS &&
            this.deps.requestRelay.isUnreachable(group))
        );
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

  /** Returns the number of attempts that may reach an endpoint; a request that a peer passed on gets one. */
  private maxAttempts(): number {
    const { relayed, resolved } = this.context;
    return relayed === undefined ? resolved.route.maxAttempts : 1;
  }

  private remainingMs(nowMs: number): number {
    return Math.max(1, Math.floor(this.deadlineAtMs - nowMs));
  }

  private isRepeatable(): boolean {
    const { isResumable, type } = this.context.resolved.route;
    return type === RouteType.Idempotent || isResumable;
  }

  /**
   * A request that may not be repeated never returns to an endpoint that it
   * reached: a copy of the endpoint's refusal could be taken for the answer to
   * the second attempt.
   */
  private reserveEndpoint(): PoolReservation | undefined {
    const { group, request } = this.context;
    const { excluded, reached } = this;
    const barred = this.isRepeatable() ? new Set<string>() : reached;
    const { metadata } = request;
    return reserveEndpoint(this.deps, { group, metadata, excluded, barred });
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
    });
  }

  /** Records that an endpoint has started the request, and counts it once for its workspace. */
  private recordStarted(startedAgoMs: number): void {
    this.report.firstAnswerMs ??=
      this.deps.clock.nowMs() - this.context.request.receivedAtMs;
    // The daemon that took a request from its caller counts it.
    if (this.isUsageCounted || this.context.relayed !== undefined) return;
    this.isUsageCounted = true;
    const { workspace } = this.context.resolved;
    if (workspace === undefined) return;
    this.deps.usageCounter.count(workspace.workspace, startedAgoMs);
  }
}
