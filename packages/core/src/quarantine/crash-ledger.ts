import type { QuarantineHints } from './quarantine-hints.js';
import { MAX_SHARED_CRASHES } from './quarantine-hints.js';

/** Time for which a crash counts. */
const CRASH_TTL_MS = 30_000; // longer than the pause between two requests with a part that matters
/** Age from which a crash is judged: by then its other requests are known from peers. */
const SETTLE_MS = 700; // longer than the interval of the exchange of hints
/** Crashes closer to one another than this count as one: a rack that fails is no sign of a prompt. */
const MIN_CRASH_SPACING_MS = 100;
/** Number of parts whose last completion is remembered. */
const MAX_COMPLETED_PARTS = 10_000; // bounds memory to about 1 MB
const MAX_CRASHES = 1_024;

/** Endpoint that crashed while it had a request with the parts. */
export interface Crash {
  readonly endpointId: string;
  readonly partIds: readonly string[];
  readonly atMs: number;
}

/** Part with the crashes that no blocked part and no completed request explains away. */
export interface Suspect {
  readonly partId: string;
  readonly crashes: number;
  readonly endpointIds: readonly string[];
}

/** Crashes of endpoints and completed requests of all daemons, by prompt part. */
export class CrashLedger {
  private readonly crashes = new Map<string, Crash>();
  /** Time of the last completed request with the part, the longest unused part first. */
  private readonly completedAtMs = new Map<string, number>();

  /** Adds a crash; repeated ones are ignored. */
  addCrash(crash: Crash): void {
    const key = `${crash.endpointId} ${crash.partIds.join(',')}`;
    if (this.crashes.has(key)) return;
    this.crashes.set(key, crash);
    removeOldest(this.crashes, MAX_CRASHES);
  }

  addCompletion(partId: string, atMs: number): void {
    const knownAtMs = this.completedAtMs.get(partId) ?? -Infinity;
    this.completedAtMs.delete(partId);
    this.completedAtMs.set(partId, Math.max(knownAtMs, atMs));
    removeOldest(this.completedAtMs, MAX_COMPLETED_PARTS);
  }

  /**
   * Returns the parts of crashes, those with the most crashes first, and among
   * equals those that stand later in prompts, as fewer requests have them.
   * Crashes of an endpoint that had a request with a blocked part do not count.
   */
  suspects(
    nowMs: number,
    isBlocked: (partId: string) => boolean,
  ): readonly Suspect[] {
    this.removeExpired(nowMs);
    const crashes = [...this.crashes.values()];
    const explainedIds = new Set(
      crashes
        .filter(crash => crash.partIds.some(isBlocked))
        .map(crash => crash.endpointId),
    );
    const crashesByPart = new Map<string, Crash[]>();
    const positionByPart = new Map<string, number>();
    for (const crash of crashes) {
      if (explainedIds.has(crash.endpointId)) continue;
      if (nowMs - crash.atMs < SETTLE_MS) continue;
      for (const [position, id] of crash.partIds.entries()) {
        if (crash.atMs <= (this.completedAtMs.get(id) ?? -Infinity)) continue;
        crashesByPart.set(id, [...(crashesByPart.get(id) ?? []), crash]);
        positionByPart.set(id, position);
      }
    }
    return [...crashesByPart]
      .map(([partId, its]) => toSuspect(partId, its))
      .sort(
        (left, right) =>
          right.crashes - left.crashes ||
          (positionByPart.get(right.partId) ?? 0) -
            (positionByPart.get(left.partId) ?? 0),
      );
  }

  /** Returns the newest crashes and the last completions of their parts. */
  hints(nowMs: number): Pick<QuarantineHints, 'crashes' | 'completed'> {
    this.removeExpired(nowMs);
    const newest = [...this.crashes.values()].slice(-MAX_SHARED_CRASHES);
    const partIds = new Set(newest.flatMap(crash => crash.partIds));
    return {
      crashes: newest.map(({ atMs, endpointId, partIds: ids }) => ({
        endpointId,
        partIds: [...ids],
        ageMs: nowMs - atMs,
      })),
      completed: [...partIds].flatMap(partId => {
        const atMs = this.completedAtMs.get(partId);
        return atMs === undefined ? [] : [{ partId, ageMs: nowMs - atMs }];
      }),
    };
  }

  private removeExpired(nowMs: number): void {
    for (const [key, { atMs }] of this.crashes) {
      if (nowMs - atMs > CRASH_TTL_MS) this.crashes.delete(key);
    }
  }
}

function toSuspect(partId: string, crashes: readonly Crash[]): Suspect {
  const atMsByEndpoint = new Map<string, number>();
  for (const { atMs, endpointId } of crashes) {
    const knownAtMs = atMsByEndpoint.get(endpointId) ?? Infinity;
    atMsByEndpoint.set(endpointId, Math.min(knownAtMs, atMs));
  }
  let count = 0;
  let lastAtMs = -Infinity;
  for (const atMs of [...atMsByEndpoint.values()].sort((a, b) => a - b)) {
    if (atMs - lastAtMs < MIN_CRASH_SPACING_MS) continue;
    lastAtMs = atMs;
    count += 1;
  }
  return { partId, crashes: count, endpointIds: [...atMsByEndpoint.keys()] };
}

function removeOldest<Value>(map: Map<string, Value>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
