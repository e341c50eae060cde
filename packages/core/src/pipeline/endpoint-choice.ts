import type { Endpoint } from '../ports/index.js';
import { estimateTokens, promptTextOf } from '../ports/index.js';
import type { RouteRequest } from '../routing/index.js';
import type { ModelRequestSpec } from '../streams/index.js';
import type { FailoverDependencies } from './failover-dependencies.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';

/** Requirements for the endpoint of an answer's next attempt. */
export interface EndpointRequirements {
  readonly work: ModelRequestSpec;
  readonly sentTokens: number;
  /** Version that generated the text so far. */
  readonly version: string | undefined;
  /** Endpoint of the attempt that is to be replaced, if known. */
  readonly currentEndpoint: Endpoint | undefined;
  readonly excluded: ReadonlySet<string>;
}

/** Selects endpoints through the router that keep the answer's version and are not affected by announced reclaims. */
export class EndpointSelector {
  constructor(
    private readonly deps: PipelineDependencies,
    private readonly failover: FailoverDependencies,
  ) {}

  choose(requirements: EndpointRequirements): Endpoint | undefined {
    const { clock, router } = this.deps;
    return router.choose(this.toRouteRequest(requirements), clock.nowMs());
  }

  toRouteRequest(requirements: EndpointRequirements): RouteRequest {
    const { sentTokens, work } = requirements;
    const promptText = promptTextOf(work.messages);
    return {
      requestId: work.requestId,
      workspace: work.workspace,
      kind: work.kind,
      group: work.group,
      version: this.requiredVersion(requirements),
      promptText,
      promptTokens: estimateTokens(promptText) + sentTokens,
      maxTokens: work.maxTokens - sentTokens,
      priority: work.priority,
      deadlineAtMs: work.deadlineAtMs,
      excluded: new Set([
        ...requirements.excluded,
        ...this.addressesUnderNotice(),
      ]),
      avoidedDataCentres: this.avoidedDataCentres(requirements.currentEndpoint),
    };
  }

  /** Returns the version of the text so far; the rule's version if there is no text or that version was rolled back. */
  private requiredVersion(
    requirements: EndpointRequirements,
  ): string | undefined {
    const { sentTokens, version, work } = requirements;
    const mayChangeVersion =
      sentTokens === 0 ||
      version === undefined ||
      this.failover.versionStatus.isTakenBack(work.group, version);
    return mayChangeVersion ? work.ruleVersion : version;
  }

  /** Returns the addresses of endpoints whose instances are under a reclaim notice; they get no new work. */
  private addressesUnderNotice(): readonly string[] {
    const { reclaims } = this.failover;
    return this.deps.router
      .endpoints()
      .filter(
        endpoint => reclaims.reclaimAtMs(endpoint.instanceId) !== undefined,
      )
      .map(endpoint => endpoint.address);
  }

  /**
   * Returns the data centres that the next attempt should avoid: those that are
   * at least half under a reclaim notice, and the current one if its instance is.
   */
  private avoidedDataCentres(
    currentEndpoint: Endpoint | undefined,
  ): ReadonlySet<string> {
    const { reclaims } = this.failover;
    const allEndpoints = this.deps.router.endpoints();
    const dataCentres = new Set(
      reclaims.dataCentresBeingReclaimed(allEndpoints),
    );
    const reclaimAtMs = reclaims.reclaimAtMs(currentEndpoint?.instanceId);
    if (currentEndpoint !== undefined && reclaimAtMs !== undefined) {
      dataCentres.add(currentEndpoint.dataCentre);
    }
    return dataCentres;
  }
}
