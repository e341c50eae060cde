import type {
  Clock,
  Log,
  LogComponent,
  LogFields,
} from '@skylarkreach/core/ports';

/** Rate limit of a log. */
export interface LogRateLimit {
  /** Maximum number of lines of one kind per second. */
  readonly linesPerSecond: number;
}

interface LineCount {
  written: number;
  /** Number of lines dropped since the last line that was written. */
  leftOut: number;
}

/** Several times the request rate of one daemon at the planned size. */
export const DEFAULT_LOG_RATE: LogRateLimit = { linesPerSecond: 50 };
const WINDOW_MS = 1_000;

/**
 * Log that limits the number of lines per second of each kind, where a kind is
 * one message of one part. The next line of the kind carries the number of
 * dropped lines in its field `leftOut`.
 */
export class RateLimitedLog implements Log {
  private counts = new Map<string, LineCount>();
  private windowEndsAtMs = 0;

  constructor(
    private readonly inner: Log,
    private readonly clock: Clock,
    private readonly rate: LogRateLimit,
  ) {}

  info(part: LogComponent, message: string, fields?: LogFields): void {
    const loggedFields = this.limitLine(part, message, fields);
    if (loggedFields !== undefined)
      this.inner.info(part, message, loggedFields);
  }

  warn(part: LogComponent, message: string, fields?: LogFields): void {
    const loggedFields = this.limitLine(part, message, fields);
    if (loggedFields !== undefined)
      this.inner.warn(part, message, loggedFields);
  }

  error(part: LogComponent, message: string, fields?: LogFields): void {
    const loggedFields = this.limitLine(part, message, fields);
    if (loggedFields !== undefined)
      this.inner.error(part, message, loggedFields);
  }

  /** Returns the fields to log with a line, or undefined where the line is dropped. */
  private limitLine(
    part: LogComponent,
    message: string,
    fields: LogFields = {},
  ): LogFields | undefined {
    this.rotateWindow();
    const kind = `${part}: ${message}`;
    const count = this.counts.get(kind) ?? { written: 0, leftOut: 0 };
    this.counts.set(kind, count);
    if (count.written >= this.rate.linesPerSecond) {
      count.leftOut += 1;
      return undefined;
    }
    count.written += 1;
    const { leftOut } = count;
    count.leftOut = 0;
    return leftOut === 0 ? fields : { ...fields, leftOut };
  }

  /** Starts a new window when the current one has ended; counts of dropped lines are kept. */
  private rotateWindow(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.windowEndsAtMs) return;
    this.windowEndsAtMs = nowMs + WINDOW_MS;
    const withDroppedLines = [...this.counts].filter(
      ([, { leftOut }]) => leftOut > 0,
    );
    this.counts = new Map(
      withDroppedLines.map(([kind, { leftOut }]) => [
        kind,
        { written: 0, leftOut },
      ]),
    );
  }
}
