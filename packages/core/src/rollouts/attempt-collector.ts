import type { AttemptObservation } from '../forwarding/index.js';
import type {
  KindEvidence,
  LatencySignal,
  RequestVersion,
} from '../moves/index.js';
import { EvidenceCounter, Signal } from '../moves/index.js';

/** Number of gaps between events after which a stream's speed is recorded, if it has not ended before. */
const GAPS_PER_SAMPLE = 8;

/**
 * Collects the evidence of one group's attempts. Latencies are recorded while
 * an attempt is in flight: at its end, the slowest ones would be missing from
 * the evidence for the longest time.
 */
export class AttemptCollector {
  private readonly counter = new EvidenceCounter();
  private readonly inFlight = new Set<CollectedAttempt>();

  /** Starts the observation of an attempt that is sent now. */
  observe(request: RequestVersion, sentAtMs: number): AttemptObservation {
    const attempt = new CollectedAttempt(
      this.counter,
      request,
      sentAtMs,
      () => {
        this.inFlight.delete(attempt);
      },
    );
    this.inFlight.add(attempt);
    return attempt;
  }

  /** Returns and resets the evidence since the last call, which includes attempts that are slow so far. */
  drain(nowMs: number): readonly KindEvidence[] {
    for (const attempt of this.inFlight) attempt.recordIfSlow(nowMs);
    return this.counter.drain();
  }
}

class CollectedAttempt implements AttemptObservation {
  private events = 0;
  private firstEventAtMs = 0;
  private lastEventAtMs = 0;
  /** Signals whose latency of this attempt is recorded. */
  private readonly recorded = new Set<LatencySignal>();

  constructor(
    private readonly counter: EvidenceCounter,
    private readonly request: RequestVersion,
    private readonly sentAtMs: number,
    private readonly onEnd: () => void,
  ) {}

  recordEvents(count: number, nowMs: number): void {
    if (count === 0) return;
    if (this.events === 0) {
      this.firstEventAtMs = nowMs;
      this.record(Signal.SlowFirstToken, nowMs - this.sentAtMs);
    }
    this.events += count;
    this.lastEventAtMs = nowMs;
    if (this.events > GAPS_PER_SAMPLE) this.recordGap();
  }

  end(failed: boolean | undefined): void {
    this.onEnd();
    if (failed !== undefined) this.counter.recordEnd(this.request, failed);
    if (this.events >= 2) this.recordGap();
  }

  /** Records a latency whose end is not known yet once it exceeds that of most responses. */
  recordIfSlow(nowMs: number): void {
    if (this.events === 0) {
      this.recordIfAbove(Signal.SlowFirstToken, nowMs - this.sentAtMs);
    } else {
      const minGapMs = (nowMs - this.firstEventAtMs) / GAPS_PER_SAMPLE;
      this.recordIfAbove(Signal.SlowTokens, minGapMs);
    }
  }

  private recordGap(): void {
    const durationMs = this.lastEventAtMs - this.firstEventAtMs;
    this.record(Signal.SlowTokens, durationMs / (this.events - 1));
  }

  private recordIfAbove(signal: LatencySignal, latencyMs: number): void {
    if (!this.counter.isSlow(signal, this.request, latencyMs)) return;
    this.record(signal, latencyMs);
  }

  private record(signal: LatencySignal, latencyMs: number): void {
    if (this.recorded.has(signal)) return;
    this.recorded.add(signal);
    this.counter.recordLatency(signal, this.request, latencyMs);
  }
}
