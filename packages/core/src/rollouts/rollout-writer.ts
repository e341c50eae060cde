import type { KindEvidence, Signal } from '../moves/index.js';
import { addBlocks, EMPTY_BLOCK, SIGNALS } from '../moves/index.js';
import type { Clock, Log } from '../ports/index.js';
import { LogComponent, PlatformError } from '../ports/index.js';
import type { CanaryRollout } from './canary-rollout.js';
import { RolloutPhase } from './rollout-hints.js';
import type { RolloutRegistry } from './rollout-registry.js';

/** Destination of the rollout status that operators read. Throws `PlatformError`. */
export interface RolloutStatusSink {
  write(
    group: string,
    toVersion: string,
    phase: RolloutPhase,
    deadlineAtMs: number,
  ): Promise<void>;
}

export interface RolloutWriterDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly registry: RolloutRegistry;
  readonly status: RolloutStatusSink;
  /** Returns the requests in flight at endpoints of the group that run other versions than `toVersion`. */
  readonly inFlightOnOtherVersions: (
    group: string,
    toVersion: string,
  ) => number;
}

const CALL_TIMEOUT_MS = 600;

/** Decides the end of rollouts and writes their status, while this daemon holds the duties. */
export class RolloutWriter {
  /** Last phase written by this daemon, by the revision of the order. */
  private readonly writtenPhases = new Map<number, RolloutPhase>();

  constructor(private readonly deps: RolloutWriterDependencies) {}

  /** Number of orders whose written phase is kept. */
  get writtenCount(): number {
    return this.writtenPhases.size;
  }

  /** Decides and writes what is due. Stops once `isHolding` returns false. */
  async step(isHolding: () => boolean): Promise<void> {
    const { registry, clock } = this.deps;
    this.forgetReplaced();
    for (const rollout of registry.rollouts()) {
      if (!isHolding()) return;
      const previousPhase = rollout.phase;
      rollout.decide(clock.nowMs());
      if (rollout.phase !== previousPhase) this.logDecision(rollout);
      registry.announceRollbacks();
      const { group, toVersion } = rollout.order;
      const oldInFlight = this.deps.inFlightOnOtherVersions(group, toVersion);
      if (rollout.mayComplete(oldInFlight, clock.nowMs())) {
        await this.write(rollout, RolloutPhase.Succeeded);
      } else if (rollout.phase !== RolloutPhase.Switching) {
        await this.write(rollout, rollout.phase);
      }
    }
  }

  private forgetReplaced(): void {
    const revisions = new Set(
      this.deps.registry.rollouts().map(({ order }) => order.revision),
    );
    for (const revision of this.writtenPhases.keys())
      if (!revisions.has(revision)) this.writtenPhases.delete(revision);
  }

  private logDecision(rollout: CanaryRollout): void {
    const { group, toVersion } = rollout.order;
    const evidence = rollout.evidence();
    this.deps.log.info(LogComponent.Moves, 'A rollout is decided.', {
      group,
      toVersion,
      phase: rollout.phase,
      ...Object.fromEntries(
        SIGNALS.map(signal => [signal, describeCounts(evidence, signal)]),
      ),
    });
  }

  private async write(
    rollout: CanaryRollout,
    phase: RolloutPhase,
  ): Promise<void> {
    const { clock, log, status } = this.deps;
    const { group, revision, toVersion } = rollout.order;
    if (this.writtenPhases.get(revision) === phase) return;
    try {
      const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
      await status.write(group, toVersion, phase, deadlineAtMs);
      this.writtenPhases.set(revision, phase);
      if (phase === RolloutPhase.Succeeded) rollout.phase = phase;
      log.info(LogComponent.Moves, 'A rollout status was written.', {
        group,
        toVersion,
        phase,
      });
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogComponent.Moves, 'A rollout status could not be written.', {
        group,
        phase,
        error: error.message,
      });
    }
  }
}

/** Returns the events and requests of both versions over all routes, as text. */
function describeCounts(
  evidence: readonly KindEvidence[],
  signal: Signal,
): string {
  const { newCount, newEvents, oldCount, oldEvents } = evidence
    .map(kind => kind[signal])
    .reduce(addBlocks, EMPTY_BLOCK);
  return `new ${newEvents}/${newCount}, old ${oldEvents}/${oldCount}`;
}
