import type { Clock, Log } from '../ports/index.js';
import { LogPart, PlatformError } from '../ports/index.js';
import type { RolloutBoard } from './rollout-board.js';
import { RolloutPhase } from './rollout-hints.js';
import type { RolloutTrial } from './rollout-trial.js';

/** Tells operators how a rollout stands. Throws `PlatformError`. */
export interface RolloutStatus {
  write(
    group: string,
    toVersion: string,
    phase: RolloutPhase,
    deadlineAtMs: number,
  ): Promise<void>;
}

export interface RolloutWriterParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly board: RolloutBoard;
  readonly status: RolloutStatus;
  /** Requests in flight at endpoints of the group with another version. */
  readonly runningElsewhere: (group: string, toVersion: string) => number;
}

const CALL_TIMEOUT_MS = 600;

/** Carries rollouts to their end and writes it down, while this daemon holds the duties. */
export class RolloutWriter {
  /** Phases written by this daemon, by the revision of the order. */
  private readonly written = new Map<number, RolloutPhase>();

  constructor(private readonly parts: RolloutWriterParts) {}

  async step(isHolding: () => boolean): Promise<void> {
    const { board, clock } = this.parts;
    for (const trial of board.trials()) {
      if (!isHolding()) return;
      trial.decide(clock.nowMs());
      const { group, toVersion } = trial.order;
      const running = this.parts.runningElsewhere(group, toVersion);
      if (trial.mayFinish(running, clock.nowMs())) {
        await this.write(trial, RolloutPhase.Succeeded);
      } else if (trial.phase !== RolloutPhase.Switching) {
        await this.write(trial, trial.phase);
      }
    }
  }

  private async write(trial: RolloutTrial, phase: RolloutPhase): Promise<void> {
    const { clock, log, status } = this.parts;
    const { group, revision, toVersion } = trial.order;
    if (this.written.get(revision) === phase) return;
    try {
      const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
      await status.write(group, toVersion, phase, deadlineAtMs);
      this.written.set(revision, phase);
      if (phase === RolloutPhase.Succeeded) trial.phase = phase;
      log.info(LogPart.Moves, 'A rollout is written down.', {
        group,
        toVersion,
        phase,
      });
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogPart.Moves, 'A rollout could not be written down.', {
        group,
        phase,
        error: error.message,
      });
    }
  }
}
