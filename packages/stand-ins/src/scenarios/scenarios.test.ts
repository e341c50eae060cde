import { readdirSync } from 'node:fs';
import { describe, it } from 'node:test';

import { addCallerSteps } from './caller-steps.js';
import { readFeature } from './feature-file.js';
import { addOperatorSteps } from './operator-steps.js';
import { addPlatformSteps } from './platform-steps.js';
import { ScenarioContext } from './scenario-context.js';
import { StepRegistry } from './step-registry.js';

const FEATURES = new URL('../../features/', import.meta.url);

const steps = new StepRegistry<ScenarioContext>();
addPlatformSteps(steps);
addCallerSteps(steps);
addOperatorSteps(steps);

for (const file of readdirSync(FEATURES).sort()) {
  const feature = readFeature(new URL(file, FEATURES));
  describe(feature.name, () => {
    for (const scenario of feature.scenarios) {
      const boundSteps = scenario.steps.map(text => steps.bind(text));
      const todo = scenario.isKnownRed && 'listed in KNOWN-RED.txt';
      it(scenario.name, { todo }, async () => {
        const context = new ScenarioContext();
        try {
          for (const runStep of boundSteps) await runStep(context);
        } finally {
          await context.stop();
        }
      });
    }
  });
}
