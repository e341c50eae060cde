import type { Experiment } from './experiment/index.js';
import { overloadExperiment } from './overload/index.js';
import { pathExperiment } from './path/index.js';
import { routingExperiment } from './routing/index.js';

/** Every experiment, by the name that the command line takes. */
export const EXPERIMENTS: readonly Experiment[] = [
  pathExperiment,
  routingExperiment,
  overloadExperiment,
];
