import {
  LeastWorkPlacement,
  LoadReports,
  OutputEstimates,
} from '@skylarkreach/core/placement';

import { PlacementRule } from '../settings/index.js';
import type { GatewayContext } from './gateway-context.js';

/** Creates what places requests by work; undefined if the settings name another rule. */
export function createLeastWork(
  { clock, metrics, random, settings }: GatewayContext,
  clusterMs: () => number,
) {
  const { identity, routing } = settings;
  if (routing.placement !== PlacementRule.LeastWork) return undefined;
  const reports = new LoadReports({ nowMs: () => clock.nowMs(), clusterMs });
  const placement = new LeastWorkPlacement({
    random,
    metrics,
    reports,
    dataCentre: identity.dataCentre,
    prefillTokensPerMs: routing.prefillTokensPerMs,
  });
  return { placement, reports, outputEstimator: new OutputEstimates(metrics) };
}
