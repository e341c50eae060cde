import type {
  EngineEvent,
  FinishReason,
  GenerateRequest,
} from '@skylarkreach/core/ports';
import { EngineEventKind, StreamBrokenError } from '@skylarkreach/core/ports';

export enum StreamEnd {
  Finished = 'finished',
  Cancelled = 'cancelled',
  Broken = 'broken',
}

/** One answer in the making at an engine; readers follow it from any token on. */
export class EngineStream {
  readonly tokens: string[];
  prefillTokensLeft: number;
  cachedTokens = 0;
  end: StreamEnd | undefined;
  private finishReason: FinishReason | undefined;
  private wakeReaders: (() => void)[] = [];

  constructor(
    readonly request: GenerateRequest,
    /** Tokens of the whole answer. */
    readonly answer: readonly string[],
    readonly promptTokens: number,
    readonly blockHashes: readonly string[],
  ) {
    this.tokens = answer.slice(0, request.sentTokens);
    this.prefillTokensLeft = promptTokens + request.sentTokens;
  }

  get tokensLeft(): number {
    return this.answer.length - this.tokens.length;
  }

  /** Adds the next token of the answer. */
  decode(): void {
    const next = this.answer[this.tokens.length];
    if (next !== undefined) this.tokens.push(next);
    this.wake();
  }

  finish(reason: FinishReason): void {
    this.finishReason = reason;
    this.close(StreamEnd.Finished);
  }

  close(end: StreamEnd): void {
    this.end ??= end;
    this.wake();
  }

  /** Yields chunks from a token on, then the finish event. Throws `StreamBrokenError`. */
  async *read(
    fromToken: number,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    let next = fromToken;
    while (!signal.aborted) {
      if (next < this.tokens.length) {
        yield this.chunk(next);
        next = this.tokens.length;
        continue;
      }
      if (this.end === StreamEnd.Finished) {
        yield this.finishEvent();
        return;
      }
      if (this.end !== undefined) break;
      await this.nextChange(signal);
    }
    throw new StreamBrokenError(
      `Stream ${this.request.streamId} ended before its finish event.`,
    );
  }

  private chunk(from: number): EngineEvent {
    return {
      kind: EngineEventKind.Chunk,
      streamId: this.request.streamId,
      tokenOffset: from,
      tokens: this.tokens.length - from,
      text: this.tokens.slice(from).join(''),
    };
  }

  private finishEvent(): EngineEvent {
    if (this.finishReason === undefined) {
      throw new StreamBrokenError('The stream has no finish reason.');
    }
    return {
      kind: EngineEventKind.Finish,
      streamId: this.request.streamId,
      reason: this.finishReason,
      totalTokens: this.tokens.length,
      promptTokens: this.promptTokens,
      cachedTokens: this.cachedTokens,
    };
  }

  private nextChange(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wakeReader = () => {
        signal.removeEventListener('abort', wakeReader);
        resolve();
      };
      signal.addEventListener('abort', wakeReader);
      this.wakeReaders.push(wakeReader);
    });
  }

  private wake(): void {
    const readers = this.wakeReaders;
    this.wakeReaders = [];
    for (const wakeReader of readers) wakeReader();
  }
}
