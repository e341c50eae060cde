/** Idle timeout of a connection: aborts its signal where no byte arrives in time. */
export class IdleTimer {
  private readonly controller = new AbortController();
  private timer: NodeJS.Timeout;

  constructor(firstTimeoutMs: number) {
    this.timer = this.schedule(firstTimeoutMs);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  restart(timeoutMs: number): void {
    clearTimeout(this.timer);
    this.timer = this.schedule(timeoutMs);
  }

  /** Suspends the timer while the consumer of the stream, not the connection, is slow. */
  pause(): void {
    clearTimeout(this.timer);
  }

  /** Stops the timer and aborts the connection if it is still open. */
  stop(): void {
    clearTimeout(this.timer);
    this.controller.abort();
  }

  private schedule(timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.controller.abort();
    }, timeoutMs);
  }
}
