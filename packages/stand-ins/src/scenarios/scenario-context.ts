import { setTimeout as delay } from 'node:timers/promises';

import type { LocalDeploymentOptions } from '../deployment/index.js';
import type { RunningAnswer, RunningPosting } from './scenario-callers.js';
import { ScenarioWorld } from './scenario-world.js';

const POLL_INTERVAL_MS = 10;
const STEP_TIMEOUT_MS = 20_000;

/** The condition that a step waits for did not hold in time. */
export class StepTimeoutError extends Error {
  override readonly name = 'StepTimeoutError';

  constructor(expected: string) {
    super(
      `A step timed out waiting until ${expected}; check the trace for the cause.`,
    );
  }
}

/** State that the steps of one scenario share. */
export class ScenarioContext {
  answers: readonly RunningAnswer[] = [];
  postings: readonly RunningPosting[] = [];
  /** Outcome of each rule line that an operator has added, by line. */
  readonly ruleOutcomes = new Map<string, string>();
  private startedWorld: ScenarioWorld | undefined;

  get world(): ScenarioWorld {
    if (this.startedWorld === undefined) {
      throw new Error(
        'No deployment is running; start the scenario with a step that starts one.',
      );
    }
    return this.startedWorld;
  }

  async start(options: Partial<LocalDeploymentOptions>): Promise<void> {
    this.startedWorld = new ScenarioWorld(options);
    await this.startedWorld.start();
  }

  async stop(): Promise<void> {
    await this.startedWorld?.stop();
  }

  /** Polls until the condition holds. Throws `StepTimeoutError`. */
  async waitUntil(
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
