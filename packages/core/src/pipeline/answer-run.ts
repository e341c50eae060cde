import type { EngineEvent } from '../ports/index.js';
import { EngineEventKind, LogPart } from '../ports/index.js';
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
import { covers, startFromRecord } from './answer-start.js';
import { AttemptSeries } from './attempt-series.js';
import type { PipelineParts } from './pipeline-parts.js';
import { isCancelled, RunEnd, RunEndedError } from './run-end.js';
import { deadlinePassed, failureOf, streamLost } from './run-errors.js';
import type { SurvivalParts } from './survival-parts.js';

/** One event of an answer, with the place that a caller resumes from after it. */
export interface AnswerPart {
  readonly event: EngineEvent;
  readonly address: string;
  readonly streamId: string;
  /** First token after this event. */
  readonly tokenOffset: number;
  /** Characters of the answer up to this event's end. */
  readonly characters: number;
  /** Time until which the answer can be resumed. */
  readonly deadlineAtMs: number;
}

/**
 * Follows one answer to its end over as many connections and endpoints as it
 * takes. What has been let out stays true: each attempt goes on after it.
 */
export class AnswerRun {
  readonly name: RequestIdentity;
  private assembler: AnswerAssembler;
  private readonly attempts: AttemptSeries;
  private readonly ended = new AbortController();
  private resumesDone = 0;
  private streamBeganAtMs: number;
  private streamTokens = 0;
  /** Characters of the answer that were yielded, or that the caller had at the start. */
  private characters: number;

  constructor(
    private readonly parts: PipelineParts,
    private readonly survival: SurvivalParts,
    private start: AnswerStart,
  ) {
    this.name = start.name;
    this.assembler = assemblerOf(start);
    this.attempts = new AttemptSeries(parts, survival, start);
    this.streamBeganAtMs = parts.clock.nowMs();
    this.characters = this.assembler.characterCount;
  }

  /** Tokens let out by this run. */
  get generatedTokens(): number {
    return this.assembler.nextTokenOffset - this.start.sentTokens;
  }

  /** Yields the rest of the answer in order, its finish event last. Throws `RequestError`. */
  async *events(
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart, void, undefined> {
    const either = AbortSignal.any([signal, this.ended.signal]);
    this.survival.live.add(this);
    try {
      yield* this.replay();
      if (!this.assembler.isFinished) yield* this.followAll(either);
    } finally {
      this.attempts.close(this.assembler.isFinished, isCancelled(either));
      this.survival.live.delete(this);
      this.keepRecord(isCancelled(either));
    }
  }

  /** Ends the run and the work at the engine. */
  cancel(): void {
    this.ended.abort(new RunEndedError(RunEnd.Cancelled));
  }

  /** What another daemon needs to go on; undefined where this one only follows a token. */
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

  private *replay(): Generator<AnswerPart, void, undefined> {
    this.assembler.beginAttempt(this.start.target?.streamId ?? '');
    for (const event of this.start.replay) {
      for (const released of this.assembler.accept(event)) {
        yield this.partOf(released);
      }
    }
  }

  private async *followAll(
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart, void, undefined> {
    let isResume = this.attempts.target !== undefined;
    if (!isResume) await this.attempts.dispatch(this.assembler, signal);
    for (;;) {
      const failure = yield* this.follow(isResume, signal);
      if (failure === undefined) return;
      isResume = await this.goOn(failure, signal);
    }
  }

  /** Follows one connection; returns why it ended before the answer was whole. */
  private async *follow(
    isResume: boolean,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart, StreamFailure | undefined, undefined> {
    const guard = new StallDetector(this.parts.clock, this.silentAtMs());
    const either = AbortSignal.any([signal, guard.signal]);
    this.beginStream(isResume);
    try {
      const events = this.attempts.open(isResume, this.assembler, either);
      for await (const event of events) {
        yield* this.letOut(event, guard);
        if (this.assembler.isFinished) return undefined;
        if (this.mustLeave()) return StreamFailure.Reclaimed;
      }
      signal.throwIfAborted();
      return guard.isStalled ? StreamFailure.Stalled : StreamFailure.Broken;
    } catch (error) {
      signal.throwIfAborted();
      this.checkDeadline();
      return guard.isStalled ? StreamFailure.Stalled : this.failed(error);
    } finally {
      guard.stop();
    }
  }

  /** Passes on what the event completes; only that counts as progress. */
  private *letOut(
    event: EngineEvent,
    guard: StallDetector,
  ): Generator<AnswerPart, void, undefined> {
    const released = this.assembler.accept(event);
    if (released.length === 0) return;
    guard.pause();
    for (const each of released) yield this.partOf(each);
    this.resumesDone = 0;
    if (event.kind === EngineEventKind.Chunk) this.streamTokens += event.tokens;
    this.attempts.recordProgress(released);
    guard.extendDeadline(this.silentAtMs());
  }

  private beginStream(isResume: boolean): void {
    const { target } = this.attempts;
    if (target !== undefined) this.assembler.beginAttempt(target.streamId);
    if (isResume) return;
    this.streamBeganAtMs = this.parts.clock.nowMs();
    this.streamTokens = 0;
  }

  /** Prepares the next connection; true where it follows the same stream. */
  private async goOn(
    failure: StreamFailure,
    signal: AbortSignal,
  ): Promise<boolean> {
    this.checkDeadline();
    const action = chooseRecovery(
      {
        failure,
        resumeCount: this.resumesDone,
        reclaimAtMs: this.attempts.reclaimAtMs(),
        nowMs: this.parts.clock.nowMs(),
      },
      this.survival.policy,
    );
    this.logSplice(failure, action);
    if (action === RecoveryAction.Resume) {
      this.resumesDone += 1;
      return true;
    }
    await this.needWork();
    const isMoved = action === RecoveryAction.MoveCache;
    await this.attempts.moveOn(failure, isMoved, this.assembler, signal);
    this.resumesDone = 0;
    return false;
  }

  /** Finds the request's record where only a token is known. */
  private async needWork(): Promise<void> {
    if (this.start.work !== undefined) return;
    const { clock } = this.parts;
    const record =
      this.survival.records.find(this.name, clock.nowMs()) ??
      (await this.survival.copies.find(this.name));
    const point = {
      ...this.name,
      ...(this.start.target ?? { address: '', streamId: '' }),
      tokenOffset: this.assembler.nextTokenOffset,
      characters: this.assembler.characterCount,
      expiresAtMs: this.start.deadlineAtMs,
    };
    if (record === undefined || !covers(record, point)) {
      throw streamLost(this.name.requestId);
    }
    this.start = { ...startFromRecord(record, point), replay: [] };
    this.assembler = assemblerOf(this.start);
    this.attempts.adopt(this.start);
  }

  private failed(error: unknown): StreamFailure {
    const failure = failureOf(error);
    this.attempts.recordFailure(error);
    return failure;
  }

  private mustLeave(): boolean {
    const { work } = this.start;
    if (work === undefined) return false;
    const nowMs = this.parts.clock.nowMs();
    const elapsedMs = nowMs - this.streamBeganAtMs;
    const progress = {
      tokensLeft: work.maxTokens - this.assembler.nextTokenOffset,
      msPerToken: elapsedMs / Math.max(1, this.streamTokens),
      nowMs,
    };
    const reclaimAtMs = this.attempts.reclaimAtMs();
    return (
      mustLeaveEndpoint(progress, reclaimAtMs, this.survival.policy) &&
      this.attempts.hasAlternative(this.assembler)
    );
  }

  private silentAtMs(): number {
    const { firstTokenTimeoutMs, stallTimeoutMs: silenceTimeoutMs } =
      this.survival.policy;
    const isWaiting = this.streamTokens === 0 && this.resumesDone === 0;
    const timeoutMs = isWaiting ? firstTokenTimeoutMs : silenceTimeoutMs;
    return this.parts.clock.nowMs() + timeoutMs;
  }

  private checkDeadline(): void {
    if (this.parts.clock.nowMs() < this.start.deadlineAtMs) return;
    throw deadlinePassed(this.attempts.outcome);
  }

  private keepRecord(wasCancelled: boolean): void {
    const record = this.record();
    if (record === undefined) return;
    if (wasCancelled) this.survival.records.remove(this.name);
    else this.survival.records.put(record, this.parts.clock.nowMs());
  }

  private logSplice(failure: StreamFailure, action: RecoveryAction): void {
    this.parts.metrics.increment('streams.splices', 1, { action, failure });
    this.parts.log.info(LogPart.Streams, 'An answer goes on elsewhere.', {
      requestId: this.name.requestId,
      failure,
      action,
      tokens: this.assembler.nextTokenOffset,
    });
  }

  private partOf(event: EngineEvent): AnswerPart {
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

function assemblerOf(start: AnswerStart): AnswerAssembler {
  const { sentText, sentTokens, unheldCharacters } = start;
  return new AnswerAssembler(sentText, sentTokens, unheldCharacters);
}
