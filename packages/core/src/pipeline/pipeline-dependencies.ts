import type { Admission } from '../admission/index.js';
import type { Claims } from '../claims/index.js';
import type {
  Clock,
  EngineClient,
  Log,
  Metrics,
  Random,
  ServiceClient,
} from '../ports/index.js';
import type { Router } from '../routing/index.js';
import type { RuleStore } from '../rules/index.js';
import type { ServiceTraitsByGroup } from './service-traits.js';
import type { TokenDirectory } from './token-directory.js';

/** Collaborators that the pipeline stages share. */
export interface PipelineDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly tokens: TokenDirectory;
  readonly rules: RuleStore;
  readonly admission: Admission;
  readonly router: Router;
  readonly claims: Claims;
  readonly engine: EngineClient;
  readonly service: ServiceClient;
  /** Capabilities of plain services that the operators declare, by group. */
  readonly serviceTraits?: ServiceTraitsByGroup;
  readonly log: Log;
  readonly metrics: Metrics;
}
