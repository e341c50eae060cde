import type { Address } from '../ports/index.js';

export interface OutlierOptions {
  /** Failures in a row after which an endpoint is ejected. */
  readonly maxFailures: number;
  readonly firstEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Largest share of a group that may be ejected at once, in percent; one endpoint of two always may. */
  readonly maxEjectedPercent: number;
}

export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  maxFailures: 4,
  firstEjectionMs: 2_000,
  maxEjectionMs: 60_000,
  maxEjectedPercent: 30,
};

interface Health {
  failures: number;
  ejections: number;
  ejectedUntilMs: number | undefined;
  probeInFlight: boolean;
}

/**
 * Ejects endpoints whose attempts fail in a row, up to a share of their group.
 * After the ejection one attempt at a time probes the endpoint: a success ends
 * the ejection, a failure doubles it.
 */
export class OutlierEjection {
  private readonly healths = new Map<Address, Health>();
  private readonly ejectedByGroup = new Map<string, Set<Address>>();

  constructor(private readonly options = DEFAULT_OUTLIER_OPTIONS) {}

  /** Whether the endpoint may take a request now, as ordinary work or as the probe. */
  isAvailable(address: Address, nowMs: number): boolean {
    const health = this.healths.get(address);
    if (health?.ejectedUntilMs === undefined) return true;
    return nowMs >= health.ejectedUntilMs && !health.probeInFlight;
  }

  recordDispatch(address: Address): void {
    const health = this.healths.get(address);
    if (health?.ejectedUntilMs !== undefined) health.probeInFlight = true;
  }

  recordSuccess(address: Address, group: string): void {
    this.healths.delete(address);
    this.ejectedByGroup.get(group)?.delete(address);
  }

  /** An attempt ended without a verdict, such as a cancelled one. */
  recordNeutral(address: Address): void {
    const health = this.healths.get(address);
    if (health !== undefined) health.probeInFlight = false;
  }

  recordFailure(
    address: Address,
    group: string,
    groupSize: number,
    nowMs: number,
  ): void {
    const health = this.healthOf(address);
    health.failures += 1;
    const wasProbe = health.probeInFlight;
    health.probeInFlight = false;
    if (health.ejectedUntilMs !== undefined) {
      if (wasProbe) this.eject(health, nowMs);
      return;
    }
    if (health.failures < this.options.maxFailures) return;
    if (!this.mayEject(group, groupSize)) return;
    this.ejectedIn(group).add(address);
    this.eject(health, nowMs);
  }

  forget(address: Address): void {
    this.healths.delete(address);
    for (const ejected of this.ejectedByGroup.values()) ejected.delete(address);
  }

  private mayEject(group: string, groupSize: number): boolean {
    const ejected = this.ejectedIn(group).size + 1;
    if (ejected === 1) return groupSize > 1;
    return ejected * 100 <= groupSize * this.options.maxEjectedPercent;
  }

  private eject(health: Health, nowMs: number): void {
    const { firstEjectionMs, maxEjectionMs } = this.options;
    const lengthMs = firstEjectionMs * 2 ** health.ejections;
    health.ejections += 1;
    health.ejectedUntilMs = nowMs + Math.min(lengthMs, maxEjectionMs);
  }

  private ejectedIn(group: string): Set<Address> {
    let ejected = this.ejectedByGroup.get(group);
    if (ejected === undefined) {
      ejected = new Set();
      this.ejectedByGroup.set(group, ejected);
    }
    return ejected;
  }

  private healthOf(address: Address): Health {
    let health = this.healths.get(address);
    if (health === undefined) {
      health = {
        failures: 0,
        ejections: 0,
        ejectedUntilMs: undefined,
        probeInFlight: false,
      };
      this.healths.set(address, health);
    }
    return health;
  }
}
