import type { AttemptObservation } from '../forwarding/index.js';
import type { KindEvidence, RequestVersion } from '../moves/index.js';
import { EvidenceCounter, Signal } from '../moves/index.js';

/** Collects the evidence of one group's attempts. */
export class AttemptCollector {
  private readonly counter = new EvidenceCounter();

  /** Starts the observation of an attempt that is sent now. */
  observe(request: RequestVersion, sentAtMs: number): AttemptObservation {
    return new CollectedAttempt(this.counter, request, sentAtMs);
  }

  /** Returns and resets the evidence since the last call. */
  drain(): readonly KindEvidence[] {
    return this.counter.drain();
  }
}

class CollectedAttempt implements AttemptObservation {
  private events = 0;
  private firstEventAtMs = 0;
  private lastEventAtMs = 0;

  constructor(
    private readonly counter: EvidenceCounter,
    private readonly request: RequestVersion,
    private readonly sentAtMs: number,
  ) {}

  recordEvents(count: number, nowMs: number): void {
    if (count === 0) return;
    if (this.events === 0) this.recordFirstEvent(nowMs);
    this.events += count;
    this.lastEventAtMs = nowMs;
  }

  end(failed: boolean): void {
    this.counter.recordEnd(this.request, failed);
    if (this.events < 2) return;
    const durationMs = this.lastEventAtMs - this.firstEventAtMs;
    this.counter.recordLatency(
      Signal.SlowTokens,
      this.request,
      durationMs / (this.events - 1),
    );
  }

  private recordFirstEvent(nowMs: number): void {
    this.firstEventAtMs = nowMs;
    this.counter.recordLatency(
      Signal.SlowFirstToken,
      this.request,
      nowMs - this.sentAtMs,
    );
  }
}
