import type { EngineChunk, EngineEvent, EngineFinish } from '../ports/index.js';
import { EngineEventKind } from '../ports/index.js';

/** Maximum number of chunks buffered behind a gap; further chunks are dropped and requested again. */
const MAX_BUFFERED_CHUNKS = 256;

/**
 * Reassembles the chunks of a request's attempts into one answer. Text is
 * emitted once, in order and without gaps. Chunks that are late, duplicated or
 * of another attempt are dropped; chunks after a gap are buffered.
 */
export class AnswerAssembler {
  private readonly buffered = new Map<number, EngineChunk>();
  private bufferedFinish: EngineFinish | undefined;
  private finish: EngineFinish | undefined;
  private streamId = '';
  private emittedTokens: number;
  private emittedText: string;
  private readonly initialTokens: number;
  /** Number of characters of `emittedText` before each token offset at which a chunk started or ended. */
  private readonly characterOffsetByToken = new Map<number, number>();

  /**
   * `sentText` and `sentTokens` are what the caller has already received. Where
   * this process does not have that text, `unavailableCharacters` is its length.
   */
  constructor(
    sentText = '',
    sentTokens = 0,
    private readonly unavailableCharacters = 0,
  ) {
    this.emittedText = sentText;
    this.emittedTokens = sentTokens;
    this.initialTokens = sentTokens;
    this.characterOffsetByToken.set(sentTokens, sentText.length);
  }

  /** Text emitted so far, including the text that the caller had at the start. */
  get text(): string {
    return this.emittedText;
  }

  /** Number of characters of the answer emitted so far, including text that this process does not have. */
  get characterCount(): number {
    return this.unavailableCharacters + this.emittedText.length;
  }

  /** Offset of the first token not emitted yet, counted from the start of the answer. */
  get nextTokenOffset(): number {
    return this.emittedTokens;
  }

  get isFinished(): boolean {
    return this.finish !== undefined;
  }

  get finishEvent(): EngineFinish | undefined {
    return this.finish;
  }

  /** Whether text is missing before a chunk or a finish event that has arrived. */
  get hasGap(): boolean {
    return this.buffered.size > 0 || this.bufferedFinish !== undefined;
  }

  /** Whether any token was emitted since the assembler was created. */
  get hasProgress(): boolean {
    return this.emittedTokens > this.initialTokens;
  }

  /** Starts an attempt: from now on only events of `streamId` are accepted. */
  beginAttempt(streamId: string): void {
    this.streamId = streamId;
    this.buffered.clear();
    this.bufferedFinish = undefined;
  }

  /** Adds one event and returns the events that can be sent to the caller now, in order. */
  accept(event: EngineEvent): readonly EngineEvent[] {
    if (this.isFinished || event.streamId !== this.streamId) return [];
    if (event.kind === EngineEventKind.Finish) {
      if (event.totalTokens >= this.emittedTokens) this.bufferedFinish = event;
      return this.releaseBuffered();
    }
    if (event.tokenOffset > this.emittedTokens) {
      this.buffer(event);
      return [];
    }
    const trimmed = this.trimOverlap(event);
    if (trimmed === undefined) return [];
    this.append(trimmed);
    return [trimmed, ...this.releaseBuffered()];
  }

  private buffer(chunk: EngineChunk): void {
    if (this.buffered.size >= MAX_BUFFERED_CHUNKS) return;
    const existing = this.buffered.get(chunk.tokenOffset);
    if (existing === undefined || existing.tokens < chunk.tokens) {
      this.buffered.set(chunk.tokenOffset, chunk);
    }
  }

  private releaseBuffered(): EngineEvent[] {
    const released: EngineEvent[] = [];
    for (;;) {
      const chunk = this.nextBuffered();
      if (chunk === undefined) break;
      this.append(chunk);
      released.push(chunk);
    }
    if (this.bufferedFinish?.totalTokens === this.emittedTokens) {
      this.finish = this.bufferedFinish;
      this.bufferedFinish = undefined;
      released.push(this.finish);
    }
    return released;
  }

  /** Removes and returns the next buffered chunk that can be emitted, without the text already emitted. */
  private nextBuffered(): EngineChunk | undefined {
    for (const [offset, chunk] of this.buffered) {
      if (offset > this.emittedTokens) continue;
      this.buffered.delete(offset);
      const trimmed = this.trimOverlap(chunk);
      if (trimmed !== undefined) return trimmed;
    }
    return undefined;
  }

  /**
   * Returns the part of a chunk that was not emitted yet. Undefined where all of
   * it was, or where its overlap with the emitted text cannot be determined: the
   * chunk is then dropped, and the missing part is requested by its offset.
   */
  private trimOverlap(chunk: EngineChunk): EngineChunk | undefined {
    if (chunk.tokenOffset === this.emittedTokens) {
      return chunk.tokens > 0 ? chunk : undefined;
    }
    const endToken = chunk.tokenOffset + chunk.tokens;
    const start = this.characterOffsetByToken.get(chunk.tokenOffset);
    if (endToken <= this.emittedTokens || start === undefined) return undefined;
    const overlap = this.emittedText.slice(start);
    if (!chunk.text.startsWith(overlap)) return undefined;
    return {
      ...chunk,
      tokenOffset: this.emittedTokens,
      tokens: endToken - this.emittedTokens,
      text: chunk.text.slice(overlap.length),
    };
  }

  private append(chunk: EngineChunk): void {
    this.emittedTokens += chunk.tokens;
    this.emittedText += chunk.text;
    this.characterOffsetByToken.set(
      this.emittedTokens,
      this.emittedText.length,
    );
  }
}
