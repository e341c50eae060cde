import type { EngineChunk, EngineEvent, EngineFinish } from '../ports/index.js';
import { EngineEventKind } from '../ports/index.js';

/** Chunks held for an earlier one that is missing; more than this are dropped and asked for again. */
const MAX_HELD_CHUNKS = 256;

/**
 * Puts the chunks of a request's attempts into one answer. Text is let out
 * once, in order and without a gap. Chunks that are late, doubled or of
 * another attempt are dropped; chunks after a gap are held.
 */
export class AnswerAssembler {
  private readonly held = new Map<number, EngineChunk>();
  private heldFinish: EngineFinish | undefined;
  private finish: EngineFinish | undefined;
  private streamId = '';
  private tokens: number;
  private answer: string;
  private readonly firstToken: number;
  /** Characters of `answer` before each token offset at which a chunk began or ended. */
  private readonly charactersAt = new Map<number, number>();

  /**
   * `sentText` and `sentTokens` are what the caller has already. Where this
   * process does not hold that text, `unheldCharacters` is its length.
   */
  constructor(
    sentText = '',
    sentTokens = 0,
    private readonly unheldCharacters = 0,
  ) {
    this.answer = sentText;
    this.tokens = sentTokens;
    this.firstToken = sentTokens;
    this.charactersAt.set(sentTokens, sentText.length);
  }

  /** Text let out so far, with the text that the caller had at the start. */
  get text(): string {
    return this.answer;
  }

  /** Characters of the answer let out so far, held here or not. */
  get characters(): number {
    return this.unheldCharacters + this.answer.length;
  }

  /** Index of the first token not let out yet, counted from the start of the answer. */
  get nextToken(): number {
    return this.tokens;
  }

  get isFinished(): boolean {
    return this.finish !== undefined;
  }

  get finishEvent(): EngineFinish | undefined {
    return this.finish;
  }

  /** Whether text is missing before a chunk or a finish event that has arrived. */
  get hasGap(): boolean {
    return this.held.size > 0 || this.heldFinish !== undefined;
  }

  /** Whether anything was let out since the assembler was made. */
  get hasProgress(): boolean {
    return this.tokens > this.firstToken;
  }

  /** Makes `streamId` the only attempt whose events are taken. */
  beginAttempt(streamId: string): void {
    this.streamId = streamId;
    this.held.clear();
    this.heldFinish = undefined;
  }

  /** Takes one event and returns those that may go to the caller, in order. */
  accept(event: EngineEvent): readonly EngineEvent[] {
    if (this.isFinished || event.streamId !== this.streamId) return [];
    if (event.kind === EngineEventKind.Finish) {
      if (event.totalTokens >= this.tokens) this.heldFinish = event;
      return this.release();
    }
    if (event.tokenOffset > this.tokens) {
      this.hold(event);
      return [];
    }
    const fresh = this.cut(event);
    if (fresh === undefined) return [];
    this.append(fresh);
    return [fresh, ...this.release()];
  }

  private hold(chunk: EngineChunk): void {
    if (this.held.size >= MAX_HELD_CHUNKS) return;
    const known = this.held.get(chunk.tokenOffset);
    if (known === undefined || known.tokens < chunk.tokens) {
      this.held.set(chunk.tokenOffset, chunk);
    }
  }

  private release(): EngineEvent[] {
    const released: EngineEvent[] = [];
    for (;;) {
      const chunk = this.takeHeld();
      if (chunk === undefined) break;
      this.append(chunk);
      released.push(chunk);
    }
    if (this.heldFinish?.totalTokens === this.tokens) {
      this.finish = this.heldFinish;
      this.heldFinish = undefined;
      released.push(this.finish);
    }
    return released;
  }

  /** The next held chunk that can be let out, cut to what is new. */
  private takeHeld(): EngineChunk | undefined {
    for (const [offset, chunk] of this.held) {
      if (offset > this.tokens) continue;
      this.held.delete(offset);
      const fresh = this.cut(chunk);
      if (fresh !== undefined) return fresh;
    }
    return undefined;
  }

  /**
   * The part of a chunk that was not let out yet. Undefined where all of it
   * was, or where its overlap cannot be told from the text: the chunk is then
   * dropped, and what is missing is asked for by its offset.
   */
  private cut(chunk: EngineChunk): EngineChunk | undefined {
    if (chunk.tokenOffset === this.tokens) {
      return chunk.tokens > 0 ? chunk : undefined;
    }
    const endToken = chunk.tokenOffset + chunk.tokens;
    const start = this.charactersAt.get(chunk.tokenOffset);
    if (endToken <= this.tokens || start === undefined) return undefined;
    const overlap = this.answer.slice(start);
    if (!chunk.text.startsWith(overlap)) return undefined;
    return {
      ...chunk,
      tokenOffset: this.tokens,
      tokens: endToken - this.tokens,
      text: chunk.text.slice(overlap.length),
    };
  }

  private append(chunk: EngineChunk): void {
    this.tokens += chunk.tokens;
    this.answer += chunk.text;
    this.charactersAt.set(this.tokens, this.answer.length);
  }
}
