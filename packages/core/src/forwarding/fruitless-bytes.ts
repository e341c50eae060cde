/** Tells an endpoint that sends bytes without an event from one that is silent. */
export class FruitlessBytes {
  private sinceMs = Infinity;
  private lastAtMs = -Infinity;

  /** `timeoutMs` is the time without bytes after which an endpoint counts as silent. */
  constructor(private readonly timeoutMs: number) {}

  /** Records bytes that complete no event. */
  record(nowMs: number): void {
    if (nowMs - this.lastAtMs >= this.timeoutMs) this.sinceMs = nowMs;
    this.lastAtMs = nowMs;
  }

  recordProgress(): void {
    this.lastAtMs = -Infinity;
  }

  /** Whether such bytes have kept arriving for longer than an endpoint may be silent. */
  get isEndless(): boolean {
    return this.lastAtMs - this.sinceMs >= this.timeoutMs;
  }
}
