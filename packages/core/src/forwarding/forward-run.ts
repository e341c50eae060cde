import type { LogFields } from '../ports/index.js';
import { LogPart } from '../ports/index.js';
import type { RetryBudget } from '../routing/index.js';
import { RouteType } from './configuration.js';
import type { PoolQuery, PoolTicket } from './endpoint-pool.js';
import type { AttemptEnd, WholeAnswer } from './forward-attempt.js';
import {
  AttemptEndKind,
  ForwardAttempt,
  isEndpointError,
} from './forward-attempt.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';
import type { ForwardRequest } from './forward-request.js';
import type { ForwarderParts } from './forwarder.js';
import type { IdentifiedForward } from './identify-forward.js';
import { attemptLimits } from './patience.js';
import { StreamRelay } from './stream-relay.js';
import type { AnswerSink } from './upstream.js';

/** What became of a request whose answer came from an endpoint, or whose caller left. */
export enum RunOutcome {
  Pending = 'pending',
  Answered = 'answered',
  /** The endpoint's own failure went to the caller. */
  EndpointError = 'endpointError',
  CallerGone = 'callerGone',
  /** The answer was broken off after its begin. */
  BrokenOff = 'brokenOff',
}

export interface RunSubject {
  readonly request: ForwardRequest;
  readonly identified: IdentifiedForward;
  readonly group: string;
  readonly budget: RetryBudget;
}

/** Endpoints that may turn out to be out of reach before the request is given up. */
const MAX_UNSENT = 3;
/** Least time for which another attempt is worth its cost. */
const MIN_ATTEMPT_MS = 20;
/** Time after which endpoints that took no work may take some again. */
const REFUSED_RETRY_MS = 300;
/** Time after which a group without endpoints may have some. */
const NO_ENDPOINT_RETRY_MS = 500;

/** Serves one request by one or more attempts at endpoints. */
export class ForwardRun {
  outcome = RunOutcome.Pending;
  private readonly deadlineAtMs: number;
  private readonly ended = new AbortController();
  private readonly excluded = new Set<string>();
  private readonly relay: StreamRelay | undefined;
  /** Endpoints that the request was sent to and that may have run it. */
  private attempts = 0;
  private unsent = 0;
  private isTimedOut = false;
  private mayHaveRun = false;
  private isCounted = false;
  private firstAnswerAtMs: number | undefined;
  private lastEndpoint = '';

  constructor(
    private readonly parts: ForwarderParts,
    private readonly subject: RunSubject,
    private readonly sink: AnswerSink,
  ) {
    const { identified, request } = subject;
    const { route } = identified;
    const waitsMs = request.traits.waitsMs ?? Infinity;
    this.deadlineAtMs =
      request.receivedAtMs + Math.min(waitsMs, route.timeoutMs);
    if (route.type !== RouteType.Streaming) return;
    this.relay = new StreamRelay(
      sink,
      headers => parts.protocol.answerHeaders(headers),
      request.traits.lastEventId,
      () => {
        this.noteStarted(0);
      },
    );
  }

  /** Resolves once the caller has its answer or is gone. Throws `ForwardError` before any part of it was sent. */
  async serve(signal: AbortSignal): Promise<void> {
    this.subject.budget.recordFirstAttempt();
    const onGone = () => {
      this.ended.abort();
    };
    signal.addEventListener('abort', onGone, { once: true });
    const timer = this.startTimer();
    try {
      await this.serveByAttempts(signal);
    } finally {
      signal.removeEventListener('abort', onGone);
      timer.abort();
    }
  }

  /** What the log says of the run. */
  summary(): LogFields {
    const { request } = this.subject;
    const fields = {
      group: this.subject.group,
      endpoint: this.lastEndpoint,
      attempts: this.attempts,
      mayHaveRun: this.mayHaveRun,
    };
    if (this.firstAnswerAtMs === undefined) return fields;
    const firstAnswerMs = this.firstAnswerAtMs - request.receivedAtMs;
    return { ...fields, firstAnswerMs: Math.round(firstAnswerMs) };
  }

  private async serveByAttempts(signal: AbortSignal): Promise<void> {
    let answer: WholeAnswer | undefined;
    let end: AttemptEnd | undefined;
    do {
      const ticket = this.takePlace();
      if (ticket === undefined) break;
      end = await this.attempt(ticket);
      if (signal.aborted) {
        this.outcome = RunOutcome.CallerGone;
        return;
      }
      answer = end.answer ?? answer;
    } while (this.mayTryAgain(end));
    if (end?.kind === AttemptEndKind.Answered && end.answer === undefined) {
      this.outcome = RunOutcome.Answered;
      return;
    }
    if (this.relay?.hasBegun === true) {
      this.outcome = RunOutcome.BrokenOff;
      this.sink.destroy();
      return;
    }
    if (answer === undefined) throw this.errorOf(end);
    this.deliver(answer);
  }

  private async attempt(ticket: PoolTicket): Promise<AttemptEnd> {
    const { identified, request } = this.subject;
    const { endpoint } = ticket;
    const { clock, protocol, versions } = this.parts;
    const sentAtMs = clock.nowMs();
    this.lastEndpoint = endpoint.id;
    this.attempts += 1;
    const attempt = new ForwardAttempt(this.parts, ticket, {
      ...attemptLimits(identified.route, this.mayRepeat()),
      requestId: request.requestId,
      stream: this.relay,
      signal: this.ended.signal,
    });
    const end = await attempt.run({
      endpoint,
      method: request.method,
      target: request.target,
      body: request.body,
      headers: protocol.dispatchHeaders(request.headers, {
        remainingMs: Math.max(1, Math.floor(this.deadlineAtMs - sentAtMs)),
        endpointId: endpoint.id,
        workspace: identified.workspace?.workspace,
        lastEventId: this.relay?.lastEventId,
        urgency: undefined,
      }),
    });
    this.recordEnd(end, ticket, sentAtMs);
    versions.recordAnswer({
      group: endpoint.group,
      version: endpoint.version,
      route: identified.route.name,
      failed: isFailure(end),
      answerMs: this.answerMsSince(sentAtMs, end),
    });
    return end;
  }

  private recordEnd(
    end: AttemptEnd,
    { endpoint }: PoolTicket,
    sentAtMs: number,
  ): void {
    const { clock, log, metrics, pool } = this.parts;
    const nowMs = clock.nowMs();
    this.excluded.add(endpoint.id);
    switch (end.kind) {
      case AttemptEndKind.NotSent:
        this.attempts -= 1;
        this.unsent += 1;
        break;
      case AttemptEndKind.Misdirected:
        this.attempts -= 1;
        pool.recordMisdirected(endpoint.id, nowMs);
        break;
      case AttemptEndKind.NotRun:
        break;
      case AttemptEndKind.Answered:
        if (end.answer !== undefined) this.noteStarted(nowMs - sentAtMs);
        break;
      case AttemptEndKind.Failed:
      case AttemptEndKind.Silent:
      case AttemptEndKind.Cancelled:
        this.mayHaveRun = true;
    }
    metrics.increment('attempts', 1, { end: end.kind });
    if (end.kind === AttemptEndKind.Answered) return;
    log.info(LogPart.Forwarding, 'An attempt gave no answer.', {
      requestId: this.subject.request.requestId,
      endpoint: endpoint.id,
      end: end.kind,
      reason: end.reason ?? '',
      elapsedMs: Math.round(nowMs - sentAtMs),
      attempts: this.attempts,
    });
  }

  private mayTryAgain(end: AttemptEnd): boolean {
    const { budget, identified } = this.subject;
    const leftMs = this.deadlineAtMs - this.parts.clock.nowMs();
    if (this.isTimedOut || leftMs < MIN_ATTEMPT_MS) return false;
    const hasAttempts = this.attempts < identified.route.maxAttempts;
    switch (end.kind) {
      case AttemptEndKind.NotSent:
        return this.unsent < MAX_UNSENT;
      case AttemptEndKind.Misdirected:
      case AttemptEndKind.NotRun:
        return hasAttempts && budget.tryAcquire();
      case AttemptEndKind.Answered:
        if (!isEndpointError(end.answer)) return false;
        return this.mayRepeat() && hasAttempts && budget.tryAcquire();
      case AttemptEndKind.Failed:
      case AttemptEndKind.Silent:
        return this.mayRepeat() && hasAttempts && budget.tryAcquire();
      case AttemptEndKind.Cancelled:
        return false;
    }
  }

  private mayRepeat(): boolean {
    const { isResumable, type } = this.subject.identified.route;
    return type === RouteType.Idempotent || isResumable;
  }

  /** A place at an endpoint that was not tried, or where all were, at any. */
  private takePlace(): PoolTicket | undefined {
    const { clock, pool, versions } = this.parts;
    const { group, request } = this.subject;
    const { promptParts, usage } = request.traits;
    const isFirst = this.excluded.size === 0;
    const rule = isFirst ? versions.choose(group) : versions.chooseAgain(group);
    const query: PoolQuery = {
      group,
      excluded: this.excluded,
      promptParts,
      promptTokens: usage?.promptTokens ?? 0,
      ...(rule.only === undefined ? {} : { onlyVersion: rule.only }),
      ...(rule.not === undefined ? {} : { notVersion: rule.not }),
    };
    const nowMs = clock.nowMs();
    const place =
      pool.take(query, nowMs) ??
      (isFirst
        ? undefined
        : pool.take({ ...query, excluded: new Set() }, nowMs));
    if (place !== undefined || rule.only === undefined) return place;
    // The version on trial has no endpoint to spare; any other one serves.
    const { onlyVersion, ...any } = query;
    return pool.take({ ...any, notVersion: onlyVersion ?? '' }, nowMs);
  }

  private deliver(answer: WholeAnswer): void {
    const { protocol } = this.parts;
    this.outcome = isEndpointError(answer)
      ? RunOutcome.EndpointError
      : RunOutcome.Answered;
    const headers = protocol.answerHeaders(answer.headers);
    this.sink.begin(answer.status, headers, answer.isFramed);
    void this.sink.write(answer.body);
    this.sink.end();
  }

  private errorOf(end: AttemptEnd | undefined): ForwardError {
    const { group } = this.subject;
    if (this.mayHaveRun && this.isTimedOut) {
      return new ForwardError(
        ForwardErrorKind.TimedOut,
        'The time for the request is over; it may have run.',
      );
    }
    if (this.mayHaveRun) {
      return new ForwardError(
        ForwardErrorKind.EndpointFailed,
        'The endpoint gave no usable answer; the request may have run.',
      );
    }
    if (this.isTimedOut) {
      return new ForwardError(
        ForwardErrorKind.TimedOutNotRun,
        'The time for the request is over and it has not run; send it again.',
        0,
      );
    }
    if (end === undefined || end.kind === AttemptEndKind.NotSent) {
      return new ForwardError(
        ForwardErrorKind.NoEndpoint,
        `No endpoint of ${group} can be reached; send the request again later.`,
        NO_ENDPOINT_RETRY_MS,
      );
    }
    return new ForwardError(
      ForwardErrorKind.Overloaded,
      `The endpoints of ${group} take no more work; send the request again later.`,
      REFUSED_RETRY_MS,
    );
  }

  /** Counts the request for its workspace once an endpoint has begun to run it. */
  private noteStarted(startedAgoMs: number): void {
    this.firstAnswerAtMs ??= this.parts.clock.nowMs();
    if (this.isCounted) return;
    this.isCounted = true;
    const { workspace } = this.subject.identified;
    if (workspace === undefined) return;
    this.parts.usage.count(workspace.workspace, startedAgoMs);
  }

  private answerMsSince(
    sentAtMs: number,
    { kind }: AttemptEnd,
  ): number | undefined {
    const atMs = this.firstAnswerAtMs;
    if (kind !== AttemptEndKind.Answered || atMs === undefined)
      return undefined;
    return atMs >= sentAtMs ? atMs - sentAtMs : undefined;
  }

  /** Ends the run at its deadline. */
  private startTimer(): AbortController {
    const settled = new AbortController();
    this.parts.clock.waitUntil(this.deadlineAtMs, settled.signal).then(
      () => {
        this.isTimedOut = true;
        this.ended.abort();
      },
      () => undefined, // the run has ended before
    );
    return settled;
  }
}

function isFailure({ answer, kind }: AttemptEnd): boolean {
  switch (kind) {
    case AttemptEndKind.Answered:
      return isEndpointError(answer);
    case AttemptEndKind.Failed:
    case AttemptEndKind.Silent:
      return true;
    case AttemptEndKind.NotSent:
    case AttemptEndKind.NotRun:
    case AttemptEndKind.Misdirected:
    case AttemptEndKind.Cancelled:
      return false;
  }
}
