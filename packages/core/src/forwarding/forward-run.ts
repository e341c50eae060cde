import type { LogFields } from '../ports/index.js';
import { cancel, LogComponent } from '../ports/index.js';
import { AttemptHistory } from './attempt-history.js';
import type { AttemptOutcome, BufferedResponse } from './attempt-outcome.js';
import {
  AttemptEndKind,
  isEndpointError,
  isFailure,
} from './attempt-outcome.js';
import type { AttemptSequence } from './attempt-sequence.js';
import { attemptTimeouts } from './attempt-timeouts.js';
import { callAt } from './call-at.js';
import { RouteType } from './configuration.js';
import { createSequence } from './create-sequence.js';
import { dispatchHeadersOf } from './dispatch-headers.js';
import { countFirstEvent } from './first-event-observer.js';
import { ForwardAttempt } from './forward-attempt.js';
import { daemonStoppingError, ForwardError } from './forward-error.js';
import { deadlineOf } from './forward-request.js';
import type { ForwarderDependencies } from './forwarder.js';
import { openPass, recordFirstRejection } from './gated-call.js';
import { mayWrite } from './may-write.js';
import { recordOutput } from './output-estimator.js';
import { runPeerAttempt } from './peer-attempt.js';
import type { PoolReservation } from './pool-reservation.js';
import { countAttempt } from './prompt-transfer.js';
import { RetryObstacle } from './retry-obstacle.js';
import type { RunContext } from './run-context.js';
import { createRunError } from './run-failure.js';
import { RunOutcome } from './run-outcome.js';
import { RunRecord } from './run-record.js';
import { StreamRelay } from './stream-relay.js';
import type { ResponseWriter } from './upstream.js';

/** Time for which a failure that could be sent waits for an endpoint that is silent. */
const MAX_HOLD_MS = 1_000; // silences of sound endpoints last about as long
const NEVER_GONE = () => Promise.resolve(false);

/** Execution of one request by one or more attempts at endpoints. */
export class ForwardRun {
  outcome = RunOutcome.Pending;
  private readonly deadlineAtMs: number;
  private readonly runAbort = new AbortController();
  private readonly attempts: AttemptHistory;
  private readonly sequence: AttemptSequence;
  private readonly relay: StreamRelay | undefined;
  private readonly record: RunRecord;
  private readonly pass: ReturnType<typeof openPass>;
  private isTimedOut = false;
  private isUsageCounted = false;
  /** Response to send if no later attempt gives a better one. */
  private heldResponse: BufferedResponse | undefined;
  private heldUntilMs = Infinity;
  private isLastEndpointGone = NEVER_GONE;

  constructor(
    private readonly deps: ForwarderDependencies,
    private readonly context: RunContext,
    private readonly sink: ResponseWriter,
  ) {
    const { group, request, resolved } = context;
    this.deadlineAtMs = deadlineOf(request, resolved.route);
    this.attempts = new AttemptHistory(context.relayed?.excludedIds);
    this.pass = openPass(deps, context, this.deadlineAtMs);
    this.sequence = createSequence(deps, context, {
      attempts: this.attempts,
      signal: this.runAbort.signal,
      deadlineAtMs: this.deadlineAtMs,
      isRepeatable: this.isRepeatable(),
      // The daemon that took the request from its caller decides on a wait.
      mayWait: () => this.hasBegun() && context.relayed === undefined,
      isLastEndpointGone: () => this.isLastEndpointGone(),
    });
    this.relay = this.createRelay();
    const { relay, sequence } = this;
    this.record = new RunRecord({ group, request, sequence, relay });
  }

  /** Resolves once the response is sent or the caller has disconnected; the signal is aborted then, or with a `ForwardError` that ends the request. Throws `ForwardError` only before any part of the response is sent. */
  async serve(signal: AbortSignal): Promise<void> {
    const { budget, relayed } = this.context;
    // A request that waits for capacity counts once it is sent.
    if (relayed === undefined && this.pass === undefined)
      budget.recordFirstAttempt();
    const onAbort = () => {
      cancel(this.runAbort);
    };
    // A signal that is aborted already has no further event.
    if (signal.aborted) onAbort();
    signal.addEventListener('abort', onAbort, { once: true });
    const timer = callAt(this.deps, this.deadlineAtMs, () => {
      this.isTimedOut = true;
      cancel(this.runAbort);
    });
    try {
      await this.runAttempts(signal);
    } finally {
      signal.removeEventListener('abort', onAbort);
      cancel(timer);
      this.sequence.close();
      this.pass?.close();
      this.heldResponse?.memory.close();
    }
  }

  summary(): LogFields {
    return this.record.fields();
  }

  private createRelay(): StreamRelay | undefined {
    const { request, resolved } = this.context;
    if (resolved.route.type !== RouteType.Streaming) return undefined;
    return new StreamRelay(
      this.sink,
      headers => this.deps.protocol.responseHeaders(headers),
      request.metadata.lastEventId,
      () => {
        this.recordStarted(0);
      },
    );
  }

  private async runAttempts(signal: AbortSignal): Promise<void> {
    let last: AttemptOutcome | undefined;
    const { pass, sequence } = this;
    let reservation: PoolReservation | undefined;
    if (pass !== undefined) reservation = await sequence.firstWithin(pass);
    else if (!signal.aborted) reservation = sequence.first();
    while (reservation !== undefined) {
      last = await (reservation.isPeer === true
        ? this.attemptThrough(reservation)
        : this.attempt(reservation));
      if (last.response !== undefined) this.hold(last.response);
      const { refusal } = this.context.tokenGuard;
      if (refusal !== undefined) throw refusal;
      if (hasCallerLeft(signal)) break;
      reservation = await sequence.next(last);
    }
    if (hasCallerLeft(signal)) {
      this.outcome = RunOutcome.CallerDisconnected;
      return;
    }
    if (last?.kind === AttemptEndKind.Answered && last.response === undefined) {
      this.outcome = RunOutcome.Answered;
      return;
    }
    if (this.hasBegun()) {
      this.outcome = RunOutcome.Truncated;
      this.sink.destroy();
      return;
    }
    const response = this.heldResponse;
    if (response === undefined) throw this.createError(last, signal);
    this.heldResponse = undefined;
    this.sendResponse(response);
  }

  private async attemptThrough(
    reservation: PoolReservation,
  ): Promise<AttemptOutcome> {
    const { request, resolved } = this.context;
    const { attempts, sequence } = this;
    const sentAtMs = this.deps.clock.nowMs();
    this.record.lastPeerId = reservation.endpoint.id;
    this.isLastEndpointGone = NEVER_GONE;
    this.record.recordDispatch(sentAtMs);
    const relayed = {
      request,
      remainingMs: this.remainingMs(sentAtMs),
      lastEventId: this.relay?.lastEventId,
      excludedIds: sequence.triedIds,
      mayWrite: () => mayWrite(this.context, reservation),
    };
    attempts.begin(reservation.endpoint.id, reservation);
    const result = await runPeerAttempt({
      ...this.deps,
      reservation,
      relayed,
      options: {
        ...attemptTimeouts(resolved.route, this.isRepeatable()),
        onSilence: () => this.mayLeave(),
        stream: this.relay,
        signal: this.runAbort.signal,
      },
      onEndpoint: id => {
        this.record.lastEndpointId = id;
        attempts.recordRelayed(id);
      },
    });
    this.recordResult(result, reservation, sentAtMs);
    return result;
  }

  private async attempt(reservation: PoolReservation): Promise<AttemptOutcome> {
    const { resolved, request } = this.context;
    const { endpoint } = reservation;
    const { clock, pool, upstream, versions } = this.deps;
    const sentAtMs = clock.nowMs();
    this.record.lastEndpointId = endpoint.id;
    this.record.recordDispatch(sentAtMs);
    this.record.endpointListAgeMs = this.deps.endpointListAgeMs();
    this.attempts.begin(endpoint.id, reservation);
    this.context.relayed?.onDispatch(endpoint.id);
    const observation = versions.observe({
      group: endpoint.group,
      version: endpoint.version,
      route: resolved.route.name,
    });
    const attempt = new ForwardAttempt(this.deps, reservation, {
      ...attemptTimeouts(resolved.route, this.isRepeatable()),
      observation,
      onSilence: () => this.mayLeave(),
      requestId: request.requestId,
      stream: this.relay,
      signal: this.runAbort.signal,
    });
    const stopListening = this.deps.requestRelay.onSilence(
      endpoint.group,
      () => {
        attempt.recordUnreachable();
      },
    );
    const result = await attempt.run({
      endpoint,
      method: request.method,
      target: request.target,
      body: request.body,
      isEndpointUsable: () => pool.isReady(endpoint.id, clock.nowMs()),
      mayWrite: () => mayWrite(this.context, reservation),
      headers: dispatchHeadersOf(this.deps, this.context, reservation, {
        remainingMs: this.remainingMs(sentAtMs),
        lastEventId: this.relay?.lastEventId,
      }),
    });
    stopListening();
    this.record.limitPerSecond = attempt.limitPerSecond;
    this.record.recordPlacement(reservation);
    this.recordResult(result, reservation, sentAtMs);
    const { suspectIds } = this.context;
    const sent = { ...request, suspectIds, endpoint, sentAtMs };
    const inspected = this.deps.crashDetector.inspect(sent, result);
    // A crash has to be known before the request goes on to another endpoint.
    this.isLastEndpointGone = async () => {
      await inspected;
      const isOver = reservation.lifetime?.aborted === true;
      return isOver || upstream.dropsConnections(endpoint);
    };
    observation.end(isFailure(result));
    const isOnlyAttempt = this.sequence.attempts === 1;
    if (result.kind === AttemptEndKind.Answered && isOnlyAttempt)
      recordOutput(this.deps, this.context, this.relay);
    return result;
  }

  private hold(response: BufferedResponse): void {
    this.heldResponse?.memory.close();
    this.heldResponse = response;
    this.heldUntilMs = this.deps.clock.nowMs() + MAX_HOLD_MS;
  }

  /** Whether a silent endpoint is to be left: another one takes over, or the response at hand has waited long enough. */
  private mayLeave(): boolean {
    const isHeld = this.heldResponse !== undefined && !this.hasBegun();
    const isDue = isHeld && this.deps.clock.nowMs() >= this.heldUntilMs;
    return this.sequence.tryReserveReplacement() || isDue;
  }

  private recordResult(
    result: AttemptOutcome,
    reservation: PoolReservation,
    sentAtMs: number,
  ): void {
    const { clock, log, metrics, pool } = this.deps;
    const nowMs = clock.nowMs();
    this.record.lastEnd = result.kind;
    this.attempts.recordEnd(result.kind, result.hasSentEvents);
    recordFirstRejection(this.deps, this.context, this.attempts, sentAtMs);
    switch (result.kind) {
      case AttemptEndKind.Misdirected:
        pool.recordMisdirected(reservation.endpoint, nowMs);
        break;
      case AttemptEndKind.NotSent:
      case AttemptEndKind.NotRun:
        break;
      case AttemptEndKind.Answered:
        if (result.response !== undefined) this.recordStarted(nowMs - sentAtMs);
        break;
      case AttemptEndKind.Failed:
      case AttemptEndKind.Silent:
      case AttemptEndKind.Cancelled:
        this.record.mayHaveRun = true;
    }
    countAttempt(metrics, reservation, result.kind);
    if (result.kind === AttemptEndKind.Answered) return;
    log.info(LogComponent.Forwarding, 'An attempt gave no answer.', {
      requestId: this.context.request.requestId,
      endpoint: reservation.endpoint.id,
      end: result.kind,
      reason: result.reason ?? '',
      ...(result.noticedLateMs !== undefined && {
        noticedLateMs: Math.round(result.noticedLateMs),
      }),
      elapsedMs: Math.round(nowMs - sentAtMs),
      attempts: this.sequence.attempts,
    });
  }

  private remainingMs(nowMs: number): number {
    return Math.max(1, Math.floor(this.deadlineAtMs - nowMs));
  }

  /** Whether the caller has received a part of the response. */
  private hasBegun(): boolean {
    return this.relay?.hasStarted === true;
  }

  private isRepeatable(): boolean {
    const { isResumable, type } = this.context.resolved.route;
    return type === RouteType.Idempotent || isResumable;
  }

  private sendResponse(response: BufferedResponse): void {
    const { protocol } = this.deps;
    this.outcome = isEndpointError(response)
      ? RunOutcome.EndpointError
      : RunOutcome.Answered;
    const headers = protocol.responseHeaders(response.headers);
    this.sink.begin(response.status, headers);
    void Promise.resolve(this.sink.write(response.body)).then(() => {
      response.memory.close();
    });
    this.sink.end();
  }

  private createError(
    last: AttemptOutcome | undefined,
    { reason }: AbortSignal,
  ): ForwardError {
    const { isTimedOut } = this;
    const { mayHaveRun } = this.record;
    if (reason instanceof ForwardError && !mayHaveRun) return reason;
    if (this.sequence.obstacle === RetryObstacle.Stopping && !mayHaveRun)
      return daemonStoppingError();
    return createRunError(this.deps, this.context, {
      isTimedOut,
      mayHaveRun,
      last: last?.kind,
    });
  }

  /** Records that an endpoint has started the request, and counts it once for its workspace. */
  private recordStarted(startedAgoMs: number): void {
    const nowMs = this.deps.clock.nowMs();
    this.record.recordResponse(nowMs);
    this.pass?.recordResponse(nowMs);
    // The daemon that took a request from its caller counts it.
    if (this.isUsageCounted || this.context.relayed !== undefined) return;
    this.isUsageCounted = true;
    countFirstEvent(this.deps, this.context, this.record, startedAgoMs);
  }
}

/** Whether the request has ended for no reason of this daemon. */
function hasCallerLeft({ aborted, reason }: AbortSignal): boolean {
  return aborted && !(reason instanceof ForwardError);
}
