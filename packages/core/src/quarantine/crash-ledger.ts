import type { EndpointCrash } from '../forwarding/index.js';
import type { QuarantineHints } from './quarantine-hints.js';
import { MAX_SHARED_CRASHES } from './quarantine-hints.js';
import { REFUTATION_MS, ServedRequests } from './served-requests.js';

/** Time for which a crash counts. */
const CRASH_TTL_MS = 30_000; // longer than the pause between two such requests that matter
/** Age from which a crash is judged: by then its other requests are known from peers. */
const SETTLE_MS = 700; // longer than the interval of the exchange of hints
/** Crashes closer to one another than this count as one, unless the request was sent between them: a rack that fails is no sign of a request. */
const MIN_CRASH_SPACING_MS = 100;
/** Number of ids whose last completion is remembered. */
const MAX_COMPLETED_IDS = 10_000; // bounds memory to about 1 MB
const MAX_CRASHES = 1_024;
/** Number of refuted crashes in one message. */
const MAX_SHARED_REFUTED = 8; // leaves most of a message to the crashes that count

/** Crash that counts unless it is refuted. */
export interface KnownCrash extends EndpointCrash {
  /** Whether the endpoint has completed a request that was sent right after it. */
  readonly isRefuted: boolean;
}

/** Prompt part or request with the crashes that no blocked one and no completed request explains away. */
export interface Suspect {
  readonly id: string;
  readonly crashes: number;
  readonly endpointIds: readonly string[];
}

/** Crashes of endpoints and completed requests of all daemons, by prompt part and request. */
export class CrashLedger {
  private readonly crashes = new Map<string, KnownCrash>();
  private readonly served = new ServedRequests();
  /** Time of the last completed request with the id, the longest unused id first. */
  private readonly completedAtMs = new Map<string, number>();

  /**
   * Adds a crash; repeated ones are ignored, unless the one before was refuted too
   * long ago to be the same. Returns whether the crash is refuted from now on.
   */
  addCrash(crash: EndpointCrash & Partial<KnownCrash>): boolean {
    const { atMs, endpointId } = crash;
    const key = `${endpointId} ${crash.suspectIds.join(',')}`;
    const known = this.crashes.get(key);
    const isRefuted =
      crash.isRefuted === true || this.served.refutes(endpointId, atMs);
    if (known !== undefined) {
      const isLater = atMs > known.atMs + REFUTATION_MS;
      const isEarlier = atMs < known.atMs - REFUTATION_MS;
      const isNews = known.isRefuted ? isLater : isRefuted && !isEarlier;
      if (!isNews) return false;
    }
    this.crashes.set(key, { ...crash, isRefuted });
    removeOldest(this.crashes, MAX_CRASHES);
    return isRefuted;
  }

  /** Records a request that an endpoint completed. Returns whether that refutes a crash. */
  addServed(endpointId: string, sentAtMs: number): boolean {
    this.served.record(endpointId, sentAtMs);
    let hasRefuted = false;
    for (const [key, crash] of this.crashes) {
      if (crash.isRefuted || crash.endpointId !== endpointId) continue;
      if (!this.served.refutes(endpointId, crash.atMs)) continue;
      this.crashes.set(key, { ...crash, isRefuted: true });
      hasRefuted = true;
    }
    return hasRefuted;
  }

  addCompletion(id: string, atMs: number): void {
    const knownAtMs = this.completedAtMs.get(id) ?? -Infinity;
    this.completedAtMs.delete(id);
    this.completedAtMs.set(id, Math.max(knownAtMs, atMs));
    removeOldest(this.completedAtMs, MAX_COMPLETED_IDS);
  }

  /**
   * Returns the ids of crashes, those with the most crashes first, and among
   * equals the later ones of a request, as fewer requests have them. Crashes of
   * an endpoint that had a request with a blocked id do not count.
   */
  suspects(
    nowMs: number,
    isBlocked: (id: string) => boolean,
  ): readonly Suspect[] {
    this.removeExpired(nowMs);
    const crashes = [...this.crashes.values()].filter(
      ({ isRefuted }) => !isRefuted,
    );
    const explainedIds = new Set(
      crashes
        .filter(crash => crash.suspectIds.some(isBlocked))
        .map(crash => crash.endpointId),
    );
    const crashesById = new Map<string, EndpointCrash[]>();
    const positionById = new Map<string, number>();
    for (const crash of crashes) {
      if (explainedIds.has(crash.endpointId)) continue;
      if (nowMs - crash.atMs < SETTLE_MS) continue;
      for (const [position, id] of crash.suspectIds.entries()) {
        if (crash.atMs <= (this.completedAtMs.get(id) ?? -Infinity)) continue;
        const its = crashesById.get(id) ?? [];
        its.push(crash);
        crashesById.set(id, its);
        positionById.set(id, position);
      }
    }
    return [...crashesById]
      .map(([id, its]) => toSuspect(id, its))
      .sort(
        (left, right) =>
          right.crashes - left.crashes ||
          (positionById.get(right.id) ?? 0) - (positionById.get(left.id) ?? 0),
      );
  }

  /** Returns crashes and the last completions of their ids: first crashes with ids that others have too, then the newest. */
  hints(nowMs: number): Pick<QuarantineHints, 'crashes' | 'completed'> {
    this.removeExpired(nowMs);
    const all = this.mostSuspectCrashes();
    const refuted = all
      .filter(({ isRefuted }) => isRefuted)
      .slice(0, MAX_SHARED_REFUTED);
    const shared = all
      .filter(({ isRefuted }) => !isRefuted)
      .slice(0, MAX_SHARED_CRASHES - refuted.length)
      .concat(refuted);
    const ids = new Set(shared.flatMap(crash => crash.suspectIds));
    return {
      crashes: shared.map(
        ({ atMs, endpointId, isRefuted, sentAtMs, suspectIds }) => ({
          endpointId,
          partIds: [...suspectIds],
          ageMs: nowMs - atMs,
          ...(Number.isFinite(sentAtMs) && {
            inFlightMs: Math.max(0, atMs - sentAtMs),
          }),
          ...(isRefuted && { isRefuted }),
        }),
      ),
      completed: [...ids].flatMap(partId => {
        const atMs = this.completedAtMs.get(partId);
        return atMs === undefined ? [] : [{ partId, ageMs: nowMs - atMs }];
      }),
    };
  }

  private mostSuspectCrashes(): KnownCrash[] {
    const crashes = [...this.crashes.values()];
    const countById = new Map<string, number>();
    for (const id of crashes.flatMap(crash => crash.suspectIds)) {
      countById.set(id, (countById.get(id) ?? 0) + 1);
    }
    return crashes
      .map(crash => ({
        crash,
        mostCrashes: Math.max(
          ...crash.suspectIds.map(id => countById.get(id) ?? 0),
        ),
      }))
      .sort(
        (left, right) =>
          right.mostCrashes - left.mostCrashes ||
          right.crash.atMs - left.crash.atMs,
      )
      .map(({ crash }) => crash);
  }

  private removeExpired(nowMs: number): void {
    for (const [key, { atMs }] of this.crashes) {
      if (nowMs - atMs > CRASH_TTL_MS) this.crashes.delete(key);
    }
  }
}

function toSuspect(id: string, crashes: readonly EndpointCrash[]): Suspect {
  const firstByEndpoint = new Map<string, EndpointCrash>();
  for (const crash of crashes) {
    const known = firstByEndpoint.get(crash.endpointId);
    if (known !== undefined && known.atMs <= crash.atMs) continue;
    firstByEndpoint.set(crash.endpointId, crash);
  }
  const inOrder = [...firstByEndpoint.values()].sort(
    (left, right) => left.atMs - right.atMs,
  );
  let count = 0;
  let lastAtMs = -Infinity;
  for (const { atMs, sentAtMs } of inOrder) {
    const isApart = atMs - lastAtMs >= MIN_CRASH_SPACING_MS;
    if (!isApart && sentAtMs < lastAtMs) continue;
    lastAtMs = atMs;
    count += 1;
  }
  return { id, crashes: count, endpointIds: [...firstByEndpoint.keys()] };
}

function removeOldest<Value>(map: Map<string, Value>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
