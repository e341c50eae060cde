import { claimsExperiment } from './claims/index.js';
import { configExperiment } from './config/index.js';
import { controlExperiment } from './control/index.js';
import type { Experiment } from './experiment/index.js';
import { fleetExperiment } from './fleet/index.js';
import { movesExperiment } from './moves/index.js';
import { newsExperiment } from './news/index.js';
import { overloadExperiment } from './overload/index.js';
import { pathExperiment } from './path/index.js';
import { routingExperiment } from './routing/index.js';
import { slopesExperiment } from './slopes/index.js';
import { processSoakExperiment, soakExperiment } from './soak/index.js';
import { surviveExperiment } from './survive/index.js';

/** All experiments that the command line can run by name. */
export const EXPERIMENTS: readonly Experiment[] = [
  pathExperiment,
  movesExperiment,
  slopesExperiment,
  newsExperiment,
  configExperiment,
  claimsExperiment,
  controlExperiment,
  fleetExperiment,
  surviveExperiment,
  routingExperiment,
  overloadExperiment,
  soakExperiment,
  processSoakExperiment,
];
