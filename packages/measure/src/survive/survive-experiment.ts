import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';
import type { DeploymentResults } from './deployment-waves.js';
import { runDeploymentWaves } from './deployment-waves.js';
import type { SurvivalResults } from './simulation.js';
import { simulateRestarts, simulateSurvival } from './simulation.js';

const DEFAULT_REQUESTS = 300;
const FULL_REQUESTS = 3_000;
const DEFAULT_DEPLOYMENT_REQUESTS = 120;
const FULL_DEPLOYMENT_REQUESTS = 600;

/** Measures how accepted requests survive waves of reclaims, compared with restarting them from the beginning. */
export const surviveExperiment: Experiment = {
  name: 'survive',
  description: 'accepted requests lost or truncated during waves of reclaims',
  run: runSurvive,
};

async function runSurvive(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const { full, seed } = options;
  const count = full ? FULL_REQUESTS : DEFAULT_REQUESTS;
  const socketCount = full
    ? FULL_DEPLOYMENT_REQUESTS
    : DEFAULT_DEPLOYMENT_REQUESTS;
  const survived = await simulateSurvival(seed, count);
  const restarted = await simulateRestarts(seed, count);
  const deployed = await runDeploymentWaves(seed, socketCount);
  return report(survived, restarted, deployed);
}

function report(
  survived: SurvivalResults,
  restarted: SurvivalResults,
  deployed: DeploymentResults,
): ExperimentReport {
  const recomputedShare =
    survived.recomputedTokens / restarted.recomputedTokens;
  return {
    rows: [
      { ...survived },
      { ...restarted },
      { way: 'local deployment, real sockets', ...deployed },
    ],
    targets: [
      upperBoundTarget('lost', survived.lost, 0, ''),
      upperBoundTarget('answers not whole', survived.notWhole, 0, ''),
      upperBoundTarget(
        'answers with text of another caller',
        survived.wrongCaller,
        0,
        '',
      ),
      upperBoundTarget('refused', survived.refused, 0, ''),
      upperBoundTarget(
        'tokens recomputed, share of restarting',
        recomputedShare,
        1,
        '',
      ),
      upperBoundTarget('lost over sockets', deployed.lost, 0, ''),
      upperBoundTarget(
        'answers not whole over sockets',
        deployed.notWhole,
        0,
        '',
      ),
    ],
  };
}
