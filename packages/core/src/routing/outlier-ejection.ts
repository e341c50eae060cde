import type { Address } from '../ports/index.js';

export interface OutlierOptions {
  /** Number of consecutive failures after which an endpoint is ejected. */
  readonly failureThreshold: number;
  /** Duration of the first ejection; it doubles with each failed probe. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Maximum share of a group that may be ejected at once, in percent. One endpoint may always be ejected if the group has at least two. */
  readonly maxEjectedPercent: number;
}

export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  failureThreshold: 4,
  baseEjectionMs: 2_000,
  maxEjectionMs: 60_000,
  maxEjectedPercent: 30,
};

interface EjectionState {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number | undefined;
  isProbeInFlight: boolean;
}

/**
 * Passive outlier detection that ejects endpoints after consecutive failures, up
 * to a share of their group. After the ejection time, one attempt at a time
 * probes the endpoint: a success ends the ejection, a failure doubles its time.
 */
export class OutlierEjection {
  private readonly stateByAddress = new Map<Address, EjectionState>();
  private readonly ejectedByGroup = new Map<string, Set<Address>>();

  constructor(private readonly options = DEFAULT_OUTLIER_OPTIONS) {}

  /** Returns whether the endpoint may receive a request now, as regular traffic or as the probe. */
  isAvailable(address: Address, nowMs: number): boolean {
    const state = this.stateByAddress.get(address);
    if (state?.ejectedUntilMs === undefined) return true;
    return nowMs >= state.ejectedUntilMs && !state.isProbeInFlight;
  }

  recordDispatch(address: Address): void {
    const state = this.stateByAddress.get(address);
    if (state?.ejectedUntilMs !== undefined) state.isProbeInFlight = true;
  }

  recordSuccess(address: Address, group: string): void {
    this.stateByAddress.delete(address);
    this.ejectedByGroup.get(group)?.delete(address);
  }

  /** Records an attempt that ended without showing whether the endpoint is healthy, such as a cancelled one. */
  recordInconclusive(address: Address): void {
    const state = this.stateByAddress.get(address);
    if (state !== undefined) state.isProbeInFlight = false;
  }

  recordFailure(
    address: Address,
    group: string,
    groupSize: number,
    nowMs: number,
  ): void {
    const state = this.stateOf(address);
    state.consecutiveFailures += 1;
    const wasProbe = state.isProbeInFlight;
    state.isProbeInFlight = false;
    if (state.ejectedUntilMs !== undefined) {
      if (wasProbe) this.eject(state, nowMs);
      return;
    }
    if (state.consecutiveFailures < this.options.failureThreshold) return;
    if (!this.mayEject(group, groupSize)) return;
    this.ejectedIn(group).add(address);
    this.eject(state, nowMs);
  }

  remove(address: Address): void {
    this.stateByAddress.delete(address);
    for (const ejected of this.ejectedByGroup.values()) ejected.delete(address);
  }

  private mayEject(group: string, groupSize: number): boolean {
    const ejected = this.ejectedIn(group).size + 1;
    if (ejected === 1) return groupSize > 1;
    return ejected * 100 <= groupSize * this.options.maxEjectedPercent;
  }

  private eject(state: EjectionState, nowMs: number): void {
    const { baseEjectionMs, maxEjectionMs } = this.options;
    const ejectionMs = baseEjectionMs * 2 ** state.ejections;
    state.ejections += 1;
    state.ejectedUntilMs = nowMs + Math.min(ejectionMs, maxEjectionMs);
  }

  private ejectedIn(group: string): Set<Address> {
    let ejected = this.ejectedByGroup.get(group);
    if (ejected === undefined) {
      ejected = new Set();
      this.ejectedByGroup.set(group, ejected);
    }
    return ejected;
  }

  private stateOf(address: Address): EjectionState {
    let state = this.stateByAddress.get(address);
    if (state === undefined) {
      state = {
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntilMs: undefined,
        isProbeInFlight: false,
      };
      this.stateByAddress.set(address, state);
    }
    return state;
  }
}
