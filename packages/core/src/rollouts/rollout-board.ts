import type {
  EndedRollout,
  RolloutOrder,
  VersionConstraint,
  VersionedAttempt,
  VersionSelector,
} from '../forwarding/index.js';
import { ANY_VERSION } from '../forwarding/index.js';
import type { Log } from '../ports/index.js';
import { LogPart } from '../ports/index.js';
import type { RolloutHints } from './rollout-hints.js';
import { RolloutPhase } from './rollout-hints.js';
import type { TrialOptions } from './rollout-trial.js';
import { RolloutTrial } from './rollout-trial.js';

export interface RolloutBoardParts {
  readonly nowMs: () => number;
  readonly log: Log;
  readonly optionsFor: (group: string) => TrialOptions;
}

/** The newest rollout of each group, as this daemon knows it. */
export class RolloutBoard implements VersionSelector {
  private readonly byGroup = new Map<string, RolloutTrial>();

  constructor(private readonly parts: RolloutBoardParts) {}

  /** Takes an order; an older one of the group changes nothing. */
  takeOrder(order: RolloutOrder): void {
    const known = this.byGroup.get(order.group);
    if (known !== undefined && known.order.revision >= order.revision) return;
    const { log, nowMs, optionsFor } = this.parts;
    const options = optionsFor(order.group);
    this.byGroup.set(order.group, new RolloutTrial(order, nowMs(), options));
    log.info(LogPart.Moves, 'A rollout is ordered.', { ...order });
  }

  /** Takes an ending that was written down before this process learnt of the order. */
  takeEnd({ group, hasSucceeded, toVersion }: EndedRollout): void {
    const trial = this.byGroup.get(group);
    if (trial?.order.toVersion !== toVersion) return;
    trial.phase = hasSucceeded
      ? RolloutPhase.Succeeded
      : RolloutPhase.RolledBack;
  }

  choose(group: string): VersionConstraint {
    const trial = this.byGroup.get(group);
    return trial?.choose(this.parts.nowMs()) ?? ANY_VERSION;
  }

  /** The rule for a repeat, which never tries the new version. */
  chooseForRetry(group: string): VersionConstraint {
    const trial = this.byGroup.get(group);
    if (trial?.phase !== RolloutPhase.Trial) return this.choose(group);
    return { not: trial.order.toVersion };
  }

  recordAttempt(answer: VersionedAttempt): void {
    this.byGroup.get(answer.group)?.recordAnswer(answer);
  }

  tick(): void {
    for (const trial of this.byGroup.values()) {
      const before = trial.phase;
      trial.tick(this.parts.nowMs());
      if (trial.phase !== before) this.noteBrake(trial);
    }
  }

  trials(): readonly RolloutTrial[] {
    return [...this.byGroup.values()];
  }

  hints(): RolloutHints[] {
    const nowMs = this.parts.nowMs();
    return this.trials().map(trial => trial.hints(nowMs));
  }

  applyPeer(lifetime: string, all: readonly RolloutHints[]): void {
    const nowMs = this.parts.nowMs();
    for (const hints of all) {
      const trial = this.byGroup.get(hints.group);
      if (trial?.order.revision !== hints.revision) continue;
      const before = trial.phase;
      trial.applyPeer(lifetime, hints, nowMs);
      if (trial.phase === before) continue;
      const { group, phase } = hints;
      this.parts.log.info(LogPart.Moves, 'A peer moves a rollout on.', {
        group,
        phase,
        lifetime,
      });
    }
  }

  private noteBrake({ finding, order, phase }: RolloutTrial): void {
    this.parts.log.warn(LogPart.Moves, 'A version is found to be bad.', {
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
