import type { EngineEvent } from '../ports/index.js';
import { EngineEventKind, LogComponent } from '../ports/index.js';
import type { RequestIdentity, RequestRecord } from '../streams/index.js';
import {
  AnswerAssembler,
  chooseRecovery,
  mustLeaveEndpoint,
  RecoveryAction,
  StallDetector,
  StreamFailure,
} from '../streams/index.js';
import type { AnswerStart } from './answer-start.js';
import { recordCovers, startFromRecord } from './answer-start.js';
import { AttemptSeries } from './attempt-series.js';
import type { FailoverDependencies } from './failover-dependencies.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import { isCancellation, RunEndedError, RunEndReason } from './run-end.js';
import {
  classifyStreamFailure,
  deadlinePassedError,
  streamLostError,
} from './run-errors.js';

/** Event of an answer, with the position at which a caller can resume after it. */
export interface AnswerEvent {
  readonly event: EngineEvent;
  readonly address: string;
  readonly streamId: string;
  /** Offset of the first token after this event. */
  readonly tokenOffset: number;
  /** Length of the answer in characters, up to the end of this event. */
  readonly characters: number;
  /** Time until which the answer can be resumed. */
  readonly deadlineAtMs: number;
}

/**
 * Streams one answer to its end, over as many connections and endpoints as
 * needed. Text once yielded is never changed or repeated: each attempt continues
 * after it.
 */
export class AnswerRun {
  readonly name: RequestIdentity;
  private assembler: AnswerAssembler;
  private readonly attempts: AttemptSeries;
  private readonly abortController = new AbortController();
  private resumeCount = 0;
  private streamStartedAtMs: number;
  private streamTokens = 0;
  /** Characters of the answer that the caller has: those from before this run and those yielded. */
  private characters: number;

  constructor(
    private readonly deps: PipelineDependencies,
    private readonly failover: FailoverDependencies,
    private start: AnswerStart,
  ) {
    this.name = start.name;
    this.assembler = createAssembler(start);
    this.attempts = new AttemptSeries(deps, failover, start);
    this.streamStartedAtMs = deps.clock.nowMs();
    this.characters = this.assembler.characterCount;
  }

  /** Number of tokens that this run has yielded. */
  get generatedTokens(): number {
    return this.assembler.nextTokenOffset - this.start.sentTokens;
  }

  /** Yields the rest of the answer in order, its finish event last. Throws `RequestError`. */
  async *events(
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void, undefined> {
    const runSignal = AbortSignal.any([signal, this.abortController.signal]);
    this.failover.liveRuns.add(this);
    try {
      yield* this.replay();
      if (!this.assembler.isFinished) yield* this.streamToEnd(runSignal);
    } finally {
      this.attempts.close(this.assembler.isFinished, isCancellation(runSignal));
      this.failover.liveRuns.delete(this);
      this.saveRecord(isCancellation(runSignal));
    }
  }

  /** Ends the run and stops the generation on the engine. */
  cancel(): void {
    this.abortController.abort(new RunEndedError(RunEndReason.Cancelled));
  }

  /** Returns the state that another daemon needs to continue the answer; undefined if only a resume token is known here. */
  record(): RequestRecord | undefined {
    const { work } = this.start;
    if (work === undefined) return undefined;
    return {
      work,
      text: this.assembler.text,
      tokens: this.assembler.nextTokenOffset,
      version: this.attempts.version,
      address: this.attempts.target?.address,
      streamId: this.attempts.target?.streamId,
      finish: this.assembler.finishEvent,
    };
  }

  private *replay(): Generator<AnswerEvent, void, undefined> {
    this.assembler.beginAttempt(this.start.target?.streamId ?? '');
    for (const event of this.start.replayedEvents) {
      for (const released of this.assembler.accept(event)) {
        yield this.toAnswerEvent(released);
      }
    }
  }

  private async *streamToEnd(
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void, undefined> {
    let isResume = this.attempts.target !== undefined;
    if (!isResume) await this.attempts.dispatch(this.assembler, signal);
    for (;;) {
      const failure = yield* this.readConnection(isResume, signal);
      if (failure === undefined) return;
      isResume = await this.prepareNextConnection(failure, signal);
    }
  }

  /** Reads one connection. Returns why it ended early, or undefined once the answer is complete. */
  private async *readConnection(
    isResume: boolean,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent, StreamFailure | undefined, undefined> {
    const guard = new StallDetector(
      this.deps.clock,
      this.silenceDeadlineAtMs(),
    );
    const connectionSignal = AbortSignal.any([signal, guard.signal]);
    this.beginStream(isResume);
    try {
      const events = this.attempts.openStream(
        isResume,
        this.assembler,
        connectionSignal,
      );
      for await (const event of events) {
        yield* this.release(event, guard);
        if (this.assembler.isFinished) return undefined;
        if (this.mustLeaveEndpoint()) return StreamFailure.Reclaimed;
      }
      signal.throwIfAborted();
      return guard.isStalled ? StreamFailure.Stalled : StreamFailure.Broken;
    } catch (error) {
      signal.throwIfAborted();
      this.checkDeadline();
      return guard.isStalled
        ? StreamFailure.Stalled
        : this.recordFailure(error);
    } finally {
      guard.stop();
    }
  }

  /** Yields the events that the assembler releases; only these count as progress. */
  private *release(
    event: EngineEvent,
    guard: StallDetector,
  ): Generator<AnswerEvent, void, undefined> {
    const released = this.assembler.accept(event);
    if (released.length === 0) return;
    guard.pause();
    for (const releasedEvent of released)
      yield this.toAnswerEvent(releasedEvent);
    this.resumeCount = 0;
    if (event.kind === EngineEventKind.Chunk) this.streamTokens += event.tokens;
    this.attempts.recordProgress(released);
    guard.extendDeadline(this.silenceDeadlineAtMs());
  }

  private beginStream(isResume: boolean): void {
    const { target } = this.attempts;
    if (target !== undefined) this.assembler.beginAttempt(target.streamId);
    if (isResume) return;
    this.streamStartedAtMs = this.deps.clock.nowMs();
    this.streamTokens = 0;
  }

  /** Prepares the next connection after a failure. Returns true if it resumes the same stream. */
  private async prepareNextConnection(
    failure: StreamFailure,
    signal: AbortSignal,
  ): Promise<boolean> {
    this.checkDeadline();
    const action = chooseRecovery(
      {
        failure,
        resumeCount: this.resumeCount,
        reclaimAtMs: this.attempts.reclaimAtMs(),
        nowMs: this.deps.clock.nowMs(),
      },
      this.failover.policy,
    );
    this.logSplice(failure, action);
    if (action === RecoveryAction.Resume) {
      this.resumeCount += 1;
      return true;
    }
    await this.loadWork();
    const isCacheMove = action === RecoveryAction.MoveCache;
    await this.attempts.failOver(failure, isCacheMove, this.assembler, signal);
    this.resumeCount = 0;
    return false;
  }

  /** Loads the work from a record of the request if only a resume token is known. Throws `RequestError`. */
  private async loadWork(): Promise<void> {
    if (this.start.work !== undefined) return;
    const { clock } = this.deps;
    const record =
      this.failover.records.find(this.name, clock.nowMs()) ??
      (await this.failover.peerRecords.find(this.name));
    const point = {
      ...this.name,
      ...(this.start.target ?? { address: '', streamId: '' }),
      tokenOffset: this.assembler.nextTokenOffset,
      characters: this.assembler.characterCount,
      expiresAtMs: this.start.deadlineAtMs,
    };
    if (record === undefined || !recordCovers(record, point)) {
      throw streamLostError(this.name.requestId);
    }
    this.start = { ...startFromRecord(record, point), replayedEvents: [] };
    this.assembler = createAssembler(this.start);
    this.attempts.adoptWork(this.start);
  }

  private recordFailure(error: unknown): StreamFailure {
    const failure = classifyStreamFailure(error);
    this.attempts.recordFailure(error);
    return failure;
  }

  private mustLeaveEndpoint(): boolean {
    const { work } = this.start;
    if (work === undefined) return false;
    const nowMs = this.deps.clock.nowMs();
    const elapsedMs = nowMs - this.streamStartedAtMs;
    const progress = {
      tokensLeft: work.maxTokens - this.assembler.nextTokenOffset,
      msPerToken: elapsedMs / Math.max(1, this.streamTokens),
      nowMs,
    };
    const reclaimAtMs = this.attempts.reclaimAtMs();
    return (
      mustLeaveEndpoint(progress, reclaimAtMs, this.failover.policy) &&
      this.attempts.hasAlternative(this.assembler)
    );
  }

  private silenceDeadlineAtMs(): number {
    const { firstTokenTimeoutMs, stallTimeoutMs } = this.failover.policy;
    const isWaiting = this.streamTokens === 0 && this.resumeCount === 0;
    const timeoutMs = isWaiting ? firstTokenTimeoutMs : stallTimeoutMs;
    return this.deps.clock.nowMs() + timeoutMs;
  }

  private checkDeadline(): void {
    if (this.deps.clock.nowMs() < this.start.deadlineAtMs) return;
    throw deadlinePassedError(this.attempts.outcome);
  }

  private saveRecord(wasCancelled: boolean): void {
    const record = this.record();
    if (record === undefined) return;
    if (wasCancelled) this.failover.records.remove(this.name);
    else this.failover.records.put(record, this.deps.clock.nowMs());
  }

  private logSplice(failure: StreamFailure, action: RecoveryAction): void {
    this.deps.metrics.increment('streams.splices', 1, { action, failure });
    this.deps.log.info(
      LogComponent.Streams,
      'A stream was interrupted and is being recovered.',
      {
        requestId: this.name.requestId,
        failure,
        action,
        tokens: this.assembler.nextTokenOffset,
      },
    );
  }

  private toAnswerEvent(event: EngineEvent): AnswerEvent {
    const isChunk = event.kind === EngineEventKind.Chunk;
    if (isChunk) this.characters += event.text.length;
    return {
      event,
      address: this.attempts.target?.address ?? '',
      streamId: this.attempts.target?.streamId ?? '',
      tokenOffset: isChunk
        ? event.tokenOffset + event.tokens
        : event.totalTokens,
      characters: this.characters,
      deadlineAtMs: this.start.deadlineAtMs,
    };
  }
}

function createAssembler(start: AnswerStart): AnswerAssembler {
  const { sentText, sentTokens, unbufferedCharacters } = start;
  return new AnswerAssembler(sentText, sentTokens, unbufferedCharacters);
}
