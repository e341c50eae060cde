import type { ServerResponse } from 'node:http';

/** Response in progress to one request. */
export class TrackedResponse {
  /** Resolves once the response, or its connection, has ended. */
  readonly ended: Promise<void>;
  private readonly abort = new AbortController();
  private resolveEnded: () => void = () => undefined;

  /** `turn` resolves once the response before this one on the connection has ended; undefined if there is none. */
  constructor(
    readonly response: ServerResponse,
    readonly turn: Promise<void> | undefined,
  ) {
    this.ended = new Promise(resolve => {
      this.resolveEnded = resolve;
    });
  }

  /** Aborted if the caller disconnects before the response is sent, or if the request has to end. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  end(): void {
    if (!this.response.writableFinished) this.abort.abort();
    this.resolveEnded();
  }

  /** Ends the request: it gets `reason` as its error if its response has not begun. */
  stop(reason: Error): void {
    this.abort.abort(reason);
  }
}
