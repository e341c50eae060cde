/** Aborts a connection on which nothing has arrived for a time. */
export class SilenceTimer {
  private readonly controller = new AbortController();
  private timer: NodeJS.Timeout;

  constructor(firstTimeoutMs: number) {
    this.timer = this.start(firstTimeoutMs);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  restart(timeoutMs: number): void {
    clearTimeout(this.timer);
    this.timer = this.start(timeoutMs);
  }

  /** Suspends the timer while the user of the stream, not the connection, is waited for. */
  pause(): void {
    clearTimeout(this.timer);
  }

  /** Ends the timer and what is left of the connection. */
  stop(): void {
    clearTimeout(this.timer);
    this.controller.abort();
  }

  private start(timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.controller.abort();
    }, timeoutMs);
  }
}
