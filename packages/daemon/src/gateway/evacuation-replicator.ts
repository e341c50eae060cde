import type {
  Evacuations,
  EvacuationState,
} from '@skylarkreach/core/evacuations';
import { parseSharedEvacuations } from '@skylarkreach/core/forwarding';
import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import { UpdateSource } from './update-source.js';

export interface EvacuationReplicatorDependencies {
  readonly evacuations: Evacuations;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Version of the shared value that this daemon passes on; 0 if there is none. */
  readonly sharedVersion: () => number;
  /** Stores the state as the shared value and sends it to peers. */
  readonly publish: (state: EvacuationState) => void;
}

/**
 * Applies the evacuations that this daemon reads in the store or receives from
 * peers, and publishes what it read where the shared value differs from it.
 */
export class EvacuationReplicator {
  /** Evacuated data centres of the shared value. */
  private sharedNames = namesOf([]);

  constructor(private readonly deps: EvacuationReplicatorDependencies) {}

  /**
   * Version of the evacuations that this daemon holds: that of the shared value,
   * or undefined if it could not apply this value.
   */
  get heldVersion(): number | undefined {
    const shared = this.deps.sharedVersion();
    return this.deps.evacuations.revision >= shared ? shared : undefined;
  }

  /** Applies a state read from the store; undefined says that nothing is known to have changed. */
  handleRead(state: EvacuationState | undefined): void {
    if (state === undefined) return;
    this.apply(state, UpdateSource.Store);
    this.publishIfNewer();
  }

  /** Applies the shared value, also one that this daemon published. Throws if this build cannot read it. */
  handleShared(text: string): void {
    const state = parseSharedEvacuations(text);
    this.sharedNames = namesOf(state.dataCentres);
    this.apply(state, UpdateSource.Peer);
    this.publishIfNewer();
  }

  private apply(state: EvacuationState, source: UpdateSource): void {
    const { evacuations, log, metrics } = this.deps;
    const before = evacuations.dataCentres;
    if (!evacuations.apply(state)) return;
    const { dataCentres, revision } = evacuations;
    const begun = dataCentres.filter(each => !before.includes(each));
    const ended = before.filter(each => !dataCentres.includes(each));
    for (const dataCentre of begun) {
      const fields = { dataCentre, revision, source };
      log.info(LogComponent.Routing, 'An evacuation is in force.', fields);
    }
    for (const dataCentre of ended) {
      const fields = { dataCentre, revision, source };
      log.info(LogComponent.Routing, 'An evacuation has ended.', fields);
    }
    const changes = begun.length + ended.length;
    if (changes === 0) return;
    metrics.gauge('evacuations.inForce', dataCentres.length);
    metrics.increment('evacuations.changes', changes, { source });
  }

  /** A late value of peers may be older than what this daemon has read. */
  private publishIfNewer(): void {
    const { evacuations, publish, sharedVersion } = this.deps;
    const { dataCentres, revision } = evacuations;
    if (revision <= sharedVersion()) return;
    if (namesOf(dataCentres) === this.sharedNames) return;
    publish({ revision, dataCentres });
  }
}

function namesOf(dataCentres: readonly string[]): string {
  return JSON.stringify([...dataCentres].sort());
}
