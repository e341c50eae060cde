import type { Clock, Log, LogFields, LogPart } from '@skylarkreach/core/ports';

export interface LogRate {
  /** Lines of one kind that may be written in a second. */
  readonly linesPerSecond: number;
}

interface LineCount {
  written: number;
  leftOut: number;
}

const WINDOW_MS = 1_000;

/**
 * Log that writes a bounded number of lines of each kind a second, where a kind
 * is one message of one part. The next line of the kind says how many were left out.
 */
export class BoundedLog implements Log {
  private counts = new Map<string, LineCount>();
  private windowEndsAtMs = 0;

  constructor(
    private readonly inner: Log,
    private readonly clock: Clock,
    private readonly rate: LogRate,
  ) {}

  info(part: LogPart, message: string, fields?: LogFields): void {
    const allowed = this.allow(part, message, fields);
    if (allowed !== undefined) this.inner.info(part, message, allowed);
  }

  warn(part: LogPart, message: string, fields?: LogFields): void {
    const allowed = this.allow(part, message, fields);
    if (allowed !== undefined) this.inner.warn(part, message, allowed);
  }

  error(part: LogPart, message: string, fields?: LogFields): void {
    const allowed = this.allow(part, message, fields);
    if (allowed !== undefined) this.inner.error(part, message, allowed);
  }

  /** The line's fields, or undefined where the line is left out. */
  private allow(
    part: LogPart,
    message: string,
    fields: LogFields = {},
  ): LogFields | undefined {
    this.turnWindow();
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

  private turnWindow(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.windowEndsAtMs) return;
    this.windowEndsAtMs = nowMs + WINDOW_MS;
    const due = [...this.counts].filter(([, { leftOut }]) => leftOut > 0);
    this.counts = new Map(
      due.map(([kind, { leftOut }]) => [kind, { written: 0, leftOut }]),
    );
  }
}
