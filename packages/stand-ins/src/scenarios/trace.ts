import type { Clock } from '@skylarkreach/core/ports';

export enum TraceKind {
  Fault = 'fault',
  Caller = 'caller',
  Operator = 'operator',
}

export interface TraceEvent {
  readonly atMs: number;
  readonly kind: TraceKind;
  /** Id of the request, idempotency key, endpoint or daemon concerned. */
  readonly subject: string;
  readonly message: string;
}

/** Chronological log of the faults, requests and rule changes of a run. */
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
   * Formats one line per event: milliseconds since the start, kind, subject, message.
   * Where `subjects` is given, caller events about other subjects are left out.
   */
  toText(subjects?: ReadonlySet<string>): string {
    return this.events
      .filter(
        ({ kind, subject }) =>
          kind !== TraceKind.Caller || (subjects?.has(subject) ?? true),
      )
      .map(({ atMs, kind, message, subject }) => {
        const elapsedMs = String(atMs - this.startedAtMs).padStart(7);
        return `${elapsedMs} ${kind.padEnd(8)} ${subject}: ${message}`;
      })
      .join('\n');
  }
}
