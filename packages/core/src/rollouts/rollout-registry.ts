import type {
  AttemptObservation,
  EndedRollout,
  RolloutOrder,
  VersionConstraint,
  VersionedAttempt,
  VersionSelector,
} from '../forwarding/index.js';
import { ANY_VERSION } from '../forwarding/index.js';
import type { Log } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { CanaryOptions } from './canary-rollout.js';
import { CanaryRollout } from './canary-rollout.js';
import type { RollbackDecision } from './rollback-decision.js';
import type { RolloutHints } from './rollout-hints.js';
import { mergePhases, RolloutPhase } from './rollout-hints.js';

export interface RolloutRegistryDependencies {
  readonly nowMs: () => number;
  readonly log: Log;
  readonly optionsFor: (group: string) => CanaryOptions;
}

/** Observation of an attempt in a group without a rollout. */
const NO_OBSERVATION: AttemptObservation = {
  recordEvents: () => undefined,
  end: () => undefined,
};

/** Latest rollout of each group that this daemon has read. */
export class RolloutRegistry implements VersionSelector {
  private readonly rolloutsByGroup = new Map<string, CanaryRollout>();
  /** Revision of the last order of each group that is known to be rolled back; the order may arrive later. */
  private readonly rolledBackRevisions = new Map<string, number>();
  private readonly rollbackListeners: ((decision: RollbackDecision) => void)[] =
    [];

  constructor(private readonly deps: RolloutRegistryDependencies) {}

  /** Registers a listener for rollbacks that this daemon decides or learns of by a peer's hints. */
  onRollback(listener: (decision: RollbackDecision) => void): void {
    this.rollbackListeners.push(listener);
  }

  /** Starts the ordered rollout, unless one of the same or a later revision is known for the group. */
  applyOrder(order: RolloutOrder): void {
    const known = this.rolloutsByGroup.get(order.group);
    if (known !== undefined && known.order.revision >= order.revision) return;
    const { log, nowMs, optionsFor } = this.deps;
    const options = optionsFor(order.group);
    const rollout = new CanaryRollout(order, nowMs(), options);
    if (this.rolledBackRevisions.get(order.group) === order.revision)
      rollout.phase = RolloutPhase.RolledBack;
    this.rolloutsByGroup.set(order.group, rollout);
    log.info(LogComponent.Moves, 'A rollout order was received.', { ...order });
  }

  /**
   * Applies the recorded outcome of a rollout that ended before this process read
   * its order. An outcome written before the order belongs to an earlier order of
   * the same version.
   */
  applyOutcome(ended: EndedRollout): void {
    const { group, hasSucceeded, revision, toVersion } = ended;
    const rollout = this.rolloutsByGroup.get(group);
    if (rollout?.order.toVersion !== toVersion) return;
    if (revision < rollout.order.revision) return;
    rollout.phase = hasSucceeded
      ? RolloutPhase.Succeeded
      : RolloutPhase.RolledBack;
    if (!hasSucceeded)
      this.rolledBackRevisions.set(group, rollout.order.revision);
  }

  /** Rolls back the rollout of a decision that a peer has shared, also if its order is read later. */
  applyRollback({ group, revision }: RollbackDecision): void {
    if (revision <= (this.rolledBackRevisions.get(group) ?? -1)) return;
    this.rolledBackRevisions.set(group, revision);
    const rollout = this.rolloutsByGroup.get(group);
    if (rollout?.order.revision !== revision) return;
    const phase = mergePhases(rollout.phase, RolloutPhase.RolledBack);
    if (phase === rollout.phase) return;
    rollout.phase = phase;
    this.deps.log.info(LogComponent.Moves, 'A peer rolled a version back.', {
      group,
      toVersion: rollout.order.toVersion,
    });
  }

  /** Calls the listeners with the rollbacks that they have not been told of. */
  announceRollbacks(): void {
    for (const { order, phase } of this.rollouts()) {
      const { group, revision } = order;
      if (phase !== RolloutPhase.RolledBack) continue;
      if (this.rolledBackRevisions.get(group) === revision) continue;
      this.rolledBackRevisions.set(group, revision);
      for (const listener of this.rollbackListeners)
        listener({ group, revision });
    }
  }

  choose(group: string): VersionConstraint {
    const rollout = this.rolloutsByGroup.get(group);
    return rollout?.choose(this.deps.nowMs()) ?? ANY_VERSION;
  }

  /** Returns the rule for a retry, which never uses a version still in its canary phase. */
  chooseForRetry(group: string): VersionConstraint {
    const rollout = this.rolloutsByGroup.get(group);
    if (rollout?.phase !== RolloutPhase.Canary) return this.choose(group);
    return { not: rollout.order.toVersion };
  }

  observe(attempt: VersionedAttempt): AttemptObservation {
    const rollout = this.rolloutsByGroup.get(attempt.group);
    return rollout?.observe(attempt, this.deps.nowMs()) ?? NO_OBSERVATION;
  }

  /** Evaluates the new evidence of every rollout, and logs and announces those that it rolls back. */
  tick(): void {
    for (const rollout of this.rolloutsByGroup.values()) {
      const previousPhase = rollout.phase;
      rollout.tick(this.deps.nowMs());
      if (rollout.phase !== previousPhase) this.logRollback(rollout);
    }
    this.announceRollbacks();
  }

  /** Revision of the newest order that this daemon holds; 0 if it holds none. */
  get newestRevision(): number {
    const revisions = this.rollouts().map(({ order }) => order.revision);
    return Math.max(0, ...revisions);
  }

  rollouts(): readonly CanaryRollout[] {
    return [...this.rolloutsByGroup.values()];
  }

  /** Returns the state of every rollout for this daemon's hints to its peers. */
  hints(): RolloutHints[] {
    const nowMs = this.deps.nowMs();
    return this.rollouts().map(rollout => rollout.hints(nowMs));
  }

  /** Applies a peer's hints to the rollouts of the same revision. */
  applyPeer(lifetime: string, peerHints: readonly RolloutHints[]): void {
    const nowMs = this.deps.nowMs();
    for (const hints of peerHints) {
      const rollout = this.rolloutsByGroup.get(hints.group);
      if (rollout?.order.revision !== hints.revision) continue;
      const previousPhase = rollout.phase;
      rollout.applyPeer(lifetime, hints, nowMs);
      if (rollout.phase === previousPhase) continue;
      const { group, phase } = hints;
      this.deps.log.info(LogComponent.Moves, 'A peer advanced a rollout.', {
        group,
        phase,
        lifetime,
      });
    }
    this.announceRollbacks();
  }

  private logRollback({ finding, order, phase }: CanaryRollout): void {
    this.deps.log.warn(LogComponent.Moves, 'A version is found to be bad.', {
      group: order.group,
      toVersion: order.toVersion,
      phase,
      route: finding?.kind ?? 'all',
      signal: finding?.signal ?? '',
      newCount: finding?.newCount ?? 0,
      newEvents: finding?.newEvents ?? 0,
      oldCount: finding?.oldCount ?? 0,
      oldEvents: finding?.oldEvents ?? 0,
    });
  }
}
