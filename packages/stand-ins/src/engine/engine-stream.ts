import type {
  EngineEvent,
  FinishReason,
  GenerateRequest,
} from '@skylarkreach/core/ports';
import { EngineEventKind, StreamBrokenError } from '@skylarkreach/core/ports';

/** Terminal state of a stream. */
export enum StreamEndState {
  Finished = 'finished',
  Cancelled = 'cancelled',
  Broken = 'broken',
}

/** Token stream of one request. Readers can start at any token offset. */
export class EngineStream {
  /** Tokens generated so far, including those that the request resumes after. */
  readonly tokens: string[];
  /** Prompt and resumed tokens that still have to be prefilled. */
  prefillTokensLeft: number;
  cachedTokens = 0;
  /** Undefined while the stream is active. */
  endState: StreamEndState | undefined;
  private finishReason: FinishReason | undefined;
  private readerCallbacks: (() => void)[] = [];

  constructor(
    readonly request: GenerateRequest,
    /** Tokens of the complete answer. */
    readonly fullAnswer: readonly string[],
    readonly promptTokens: number,
    readonly blockHashes: readonly string[],
  ) {
    this.tokens = fullAnswer.slice(0, request.sentTokens);
    this.prefillTokensLeft = promptTokens + request.sentTokens;
  }

  get tokensLeft(): number {
    return this.fullAnswer.length - this.tokens.length;
  }

  /** Appends the next token of the answer and notifies readers. */
  decodeNextToken(): void {
    const token = this.fullAnswer[this.tokens.length];
    if (token !== undefined) this.tokens.push(token);
    this.notifyReaders();
  }

  /** Ends the stream normally; readers receive a finish event. */
  finish(reason: FinishReason): void {
    this.finishReason = reason;
    this.close(StreamEndState.Finished);
  }

  /** Ends the stream and notifies readers. The first end state is kept. */
  close(endState: StreamEndState): void {
    this.endState ??= endState;
    this.notifyReaders();
  }

  /**
   * Yields chunks from the token offset `fromToken` on, then the finish event.
   * Throws `StreamBrokenError` if the stream ends without one or `signal` is aborted.
   */
  async *read(
    fromToken: number,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    let nextOffset = fromToken;
    while (!signal.aborted) {
      if (nextOffset < this.tokens.length) {
        yield this.createChunk(nextOffset);
        nextOffset = this.tokens.length;
        continue;
      }
      if (this.endState === StreamEndState.Finished) {
        yield this.createFinishEvent();
        return;
      }
      if (this.endState !== undefined) break;
      await this.waitForChange(signal);
    }
    throw new StreamBrokenError(
      `Stream ${this.request.streamId} ended before its finish event.`,
    );
  }

  private createChunk(fromToken: number): EngineEvent {
    return {
      kind: EngineEventKind.Chunk,
      streamId: this.request.streamId,
      tokenOffset: fromToken,
      tokens: this.tokens.length - fromToken,
      text: this.tokens.slice(fromToken).join(''),
    };
  }

  private createFinishEvent(): EngineEvent {
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

  private waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const onChange = () => {
        signal.removeEventListener('abort', onChange);
        resolve();
      };
      signal.addEventListener('abort', onChange);
      this.readerCallbacks.push(onChange);
    });
  }

  private notifyReaders(): void {
    const callbacks = this.readerCallbacks;
    this.readerCallbacks = [];
    for (const notifyReader of callbacks) notifyReader();
  }
}
