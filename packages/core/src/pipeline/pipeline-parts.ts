import type { Admission } from '../admission/index.js';
import type { Claims } from '../claims/index.js';
import type {
  Clock,
  Engine,
  Log,
  Metrics,
  Random,
  Service,
} from '../ports/index.js';
import type { Router } from '../routing/index.js';
import type { RuleStore } from '../rules/index.js';
import type { TokenDirectory } from './identify.js';
import type { ServiceTraitsByGroup } from './service-traits.js';

/** Parts that the stages of the pipeline work with. */
export interface PipelineParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly tokens: TokenDirectory;
  readonly rules: RuleStore;
  readonly admission: Admission;
  readonly router: Router;
  readonly claims: Claims;
  readonly engine: Engine;
  readonly service: Service;
  /** What the operators state of plain services, by group. */
  readonly serviceTraits?: ServiceTraitsByGroup;
  readonly log: Log;
  readonly metrics: Metrics;
}
