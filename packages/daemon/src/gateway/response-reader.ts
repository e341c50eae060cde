import { errors } from 'undici';

import type { RawHeaders } from '@skylarkreach/core/forwarding';

/** Range of the statuses (RFC 9110, 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Lowest status of a final response. */
const MIN_FINAL_STATUS = 200;

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

interface Reader {
  readonly resolve: (result: IteratorResult<Uint8Array>) => void;
  readonly reject: (error: Error) => void;
}

const DONE: IteratorResult<Uint8Array> = { done: true, value: undefined };

/**
 * Handler of one request of undici: resolves with the head of its response and
 * is the iterator over its body. Chunks that arrive together are read together.
 * Aborting the signal closes the connection. undici's `request` creates a
 * readable stream and an async generator for each response, which take more
 * processor time than the rest of a short response.
 */
export class ResponseReader implements AsyncIterableIterator<Uint8Array> {
  /** Rejects if the request fails before its response begins. */
  readonly head: Promise<ResponseHead>;
  private resolveHead: (head: ResponseHead) => void = () => undefined;
  private rejectHead: (error: Error) => void = () => undefined;
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private isPaused = false;
  private isComplete = false;
  private error: Error | undefined;
  private reader: Reader | undefined;
  private isDeliveryDue = false;
  private resume: () => void = () => undefined;
  /** Undefined until the request is about to be written. */
  private abort: ((error?: Error) => void) | undefined;

  /** `maxUnreadBytes` are buffered before the connection is paused. */
  constructor(
    private readonly signal: AbortSignal,
    private readonly maxUnreadBytes: number,
  ) {
    this.head = new Promise((resolve, reject) => {
      this.resolveHead = resolve;
      this.rejectHead = reject;
    });
    if (signal.aborted) this.error = reasonOf(signal);
    else signal.addEventListener('abort', this.onAbort);
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array>> {
    return new Promise((resolve, reject) => {
      this.reader = { resolve, reject };
      if (this.isReadable()) this.deliver();
    });
  }

  /** Ends the iteration, and closes the connection if the response is incomplete. */
  return(): Promise<IteratorResult<Uint8Array>> {
    this.stopListening();
    if (!this.isComplete) this.abort?.();
    return Promise.resolve(DONE);
  }

  /** Called right before the request is written. */
  onConnect(abort: (error?: Error) => void): void {
    if (this.error === undefined) this.abort = abort;
    else abort(this.error);
  }

  onHeaders(
    status: number,
    rawHeaders: readonly (Buffer | string)[],
    resume: () => void,
  ): boolean {
    // undici fails the request with what is thrown here.
    if (status < MIN_STATUS || status > MAX_STATUS)
      throw new Error(`The response has the invalid status ${status}.`);
    if (status < MIN_FINAL_STATUS) return true;
    this.resume = resume;
    const headers = rawHeaders.map(text =>
      typeof text === 'string' ? text : text.toString('latin1'),
    );
    this.resolveHead({ status, headers });
    return true;
  }

  /** Returns false if the connection is to be paused. */
  onData(chunk: Buffer): boolean {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    this.scheduleDelivery();
    this.isPaused = this.bufferedBytes >= this.maxUnreadBytes;
    return !this.isPaused;
  }

  onComplete(): void {
    this.isComplete = true;
    this.scheduleDelivery();
  }

  /** What has not been read of the response is lost. */
  onError(error: Error): void {
    this.fail(error);
    this.rejectHead(error);
  }

  private readonly onAbort = (): void => {
    const error = reasonOf(this.signal);
    this.fail(error);
    this.abort?.(error);
  };

  private readonly deliver = (): void => {
    this.isDeliveryDue = false;
    const { reader } = this;
    if (reader === undefined) return;
    this.reader = undefined;
    if (this.error !== undefined) {
      reader.reject(this.error);
      return;
    }
    const [first] = this.chunks;
    if (first === undefined) {
      this.stopListening();
      reader.resolve(DONE);
      return;
    }
    const value = this.chunks.length === 1 ? first : Buffer.concat(this.chunks);
    this.chunks = [];
    this.bufferedBytes = 0;
    reader.resolve({ done: false, value });
    if (!this.isPaused) return;
    this.isPaused = false;
    this.resume();
  };

  /** Lets the parser hand over all chunks that it was given before they are read. */
  private scheduleDelivery(): void {
    if (this.reader === undefined || this.isDeliveryDue) return;
    this.isDeliveryDue = true;
    process.nextTick(this.deliver);
  }

  private isReadable(): boolean {
    return (
      this.chunks.length > 0 || this.isComplete || this.error !== undefined
    );
  }

  private fail(error: Error): void {
    this.stopListening();
    this.error ??= error;
    this.chunks = [];
    this.scheduleDelivery();
  }

  private stopListening(): void {
    this.signal.removeEventListener('abort', this.onAbort);
  }
}

function reasonOf({ reason }: AbortSignal): Error {
  return reason instanceof Error ? reason : new errors.RequestAbortedError();
}
