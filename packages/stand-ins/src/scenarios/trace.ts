import type { Clock } from '@skylarkreach/core/ports';

export enum TraceKind {
  Fault = 'fault',
  Caller = 'caller',
  Operator = 'operator',
}

export interface TraceEvent {
  readonly atMs: number;
  readonly kind: TraceKind;
  /** The request, key, endpoint or daemon that it concerns. */
  readonly subject: string;
  readonly message: string;
}

/** What happened in a run, in order. */
export class Trace {
  readonly events: TraceEvent[] = [];
  private readonly startedAtMs: number;

  constructor(private readonly clock: Clock) {
    this.startedAtMs = clock.nowMs();
  }

  record(kind: TraceKind, subject: string, message: string): void {
    const atMs = this.clock.nowMs();
    this.events.push({ atMs, kind, subject, message });
  }

  /**
   * One line an event: milliseconds since the start, kind, subject, message.
   * Of callers only the named ones, where `subjects` is given.
   */
  toText(subjects?: ReadonlySet<string>): string {
    return this.events
      .filter(
        ({ kind, subject }) =>
          kind !== TraceKind.Caller || (subjects?.has(subject) ?? true),
      )
      .map(({ atMs, kind, message, subject }) => {
        const sinceStartMs = String(atMs - this.startedAtMs).padStart(7);
        return `${sinceStartMs} ${kind.padEnd(8)} ${subject}: ${message}`;
      })
      .join('\n');
  }
}
