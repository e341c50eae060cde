import { setTimeout as delay } from 'node:timers/promises';

import type { LocalDeploymentOptions } from '../deployment/index.js';
import type { RunningAnswer, RunningPosting } from './scenario-callers.js';
import { ScenarioWorld } from './scenario-world.js';

const POLL_INTERVAL_MS = 10;
const STEP_TIMEOUT_MS = 20_000;

/** A step waited in vain. */
export class StepTimeoutError extends Error {
  override readonly name = 'StepTimeoutError';

  constructor(expected: string) {
    super(`A step waited in vain until ${expected}; read the trace.`);
  }
}

/** What the steps of one scenario share. */
export class ScenarioContext {
  answers: readonly RunningAnswer[] = [];
  postings: readonly RunningPosting[] = [];
  /** Lines that operators have added, by the outcome that they were told. */
  readonly addedRules = new Map<string, string>();
  private running: ScenarioWorld | undefined;

  get world(): ScenarioWorld {
    if (this.running === undefined) {
      throw new Error('No deployment runs; begin the scenario with one.');
    }
    return this.running;
  }

  async start(options: Partial<LocalDeploymentOptions>): Promise<void> {
    this.running = new ScenarioWorld(options);
    await this.running.start();
  }

  async stop(): Promise<void> {
    await this.running?.stop();
  }

  /** Polls until the condition holds. Throws `StepTimeoutError`. */
  async until(
    expected: string,
    condition: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const deadlineAtMs = Date.now() + STEP_TIMEOUT_MS;
    while (!(await condition())) {
      if (Date.now() >= deadlineAtMs) throw new StepTimeoutError(expected);
      await delay(POLL_INTERVAL_MS);
    }
  }
}
