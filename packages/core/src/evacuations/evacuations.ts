import type { DataCentre } from '../ports/index.js';

/** Data centres that are evacuated at one revision of the store. */
export interface EvacuationState {
  /** Revision of the store at which the state was true; rises with each change, also across restores. */
  readonly revision: number;
  readonly dataCentres: readonly DataCentre[];
}

/**
 * Data centres to whose endpoints this daemon sends nothing, by order of the
 * operators. Meant for a few data centres and changes some times a day; the
 * newest state wins in whatever order reads and news of peers arrive.
 */
export class Evacuations {
  private state: EvacuationState = { revision: 0, dataCentres: [] };
  private evacuated: ReadonlySet<DataCentre> = new Set();
  private readonly endListeners: ((dataCentre: DataCentre) => void)[] = [];
  private readonly beginListeners: (() => void)[] = [];

  /** Revision of the newest state; 0 before the first. */
  get revision(): number {
    return this.state.revision;
  }

  /** Evacuated data centres, in alphabetical order. */
  get dataCentres(): readonly DataCentre[] {
    return this.state.dataCentres;
  }

  /** Applies a state; returns false if it is not newer than the current one. */
  apply({ dataCentres, revision }: EvacuationState): boolean {
    if (revision <= this.revision) return false;
    const before = this.evacuated;
    const next = new Set(dataCentres);
    this.evacuated = next;
    this.state = { revision, dataCentres: [...next].sort() };
    for (const dataCentre of before) {
      if (next.has(dataCentre)) continue;
      for (const listener of this.endListeners) listener(dataCentre);
    }
    if (dataCentres.some(each => !before.has(each)))
      for (const listener of this.beginListeners) listener();
    return true;
  }

  isEvacuated(dataCentre: DataCentre): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Calls the listener once further data centres are evacuated. */
  onBegin(listener: () => void): void {
    this.beginListeners.push(listener);
  }

  /** Calls the listener with each data centre whose evacuation has ended. */
  onEnd(listener: (dataCentre: DataCentre) => void): void {
    this.endListeners.push(listener);
  }
}
