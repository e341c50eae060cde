import type { Endpoint } from '../ports/index.js';
import { estimateTokens, promptTextOf } from '../ports/index.js';
import type { RouteRequest } from '../routing/index.js';
import type { ModelRequestSpec } from '../streams/index.js';
import type { PipelineParts } from './pipeline-parts.js';
import type { SurvivalParts } from './survival-parts.js';

/** What the endpoint of an answer's next attempt is chosen for. */
export interface ChoiceSituation {
  readonly work: ModelRequestSpec;
  readonly sentTokens: number;
  /** Version that made the text so far. */
  readonly version: string | undefined;
  /** Endpoint of the attempt before, if it is known. */
  readonly present: Endpoint | undefined;
  readonly excluded: ReadonlySet<string>;
}

/** Asks the router for an endpoint that keeps the answer's version and survives the reclaims announced. */
export class EndpointChoice {
  constructor(
    private readonly parts: PipelineParts,
    private readonly survival: SurvivalParts,
  ) {}

  choose(situation: ChoiceSituation): Endpoint | undefined {
    const { clock, router } = this.parts;
    return router.choose(this.route(situation), clock.nowMs());
  }

  route(situation: ChoiceSituation): RouteRequest {
    const { sentTokens, work } = situation;
    const promptText = promptTextOf(work.messages);
    return {
      requestId: work.requestId,
      workspace: work.workspace,
      kind: work.kind,
      group: work.group,
      version: this.allowedVersion(situation),
      promptText,
      promptTokens: estimateTokens(promptText) + sentTokens,
      maxTokens: work.maxTokens - sentTokens,
      priority: work.priority,
      deadlineAtMs: work.deadlineAtMs,
      excluded: new Set([...situation.excluded, ...this.underNotice()]),
      avoidedDataCentres: this.avoided(situation.present),
    };
  }

  /** The version of the text so far, unless it was taken back. */
  private allowedVersion(situation: ChoiceSituation): string | undefined {
    const { sentTokens, version, work } = situation;
    const isFree =
      sentTokens === 0 ||
      version === undefined ||
      this.survival.versions.isTakenBack(work.group, version);
    return isFree ? work.ruleVersion : version;
  }

  /** Endpoints whose instance is under notice, which take no new work. */
  private underNotice(): readonly string[] {
    const { reclaims } = this.survival;
    return this.parts.router
      .endpoints()
      .filter(each => reclaims.reclaimAtMs(each.instanceId) !== undefined)
      .map(each => each.address);
  }

  private avoided(present: Endpoint | undefined): ReadonlySet<string> {
    const { reclaims } = this.survival;
    const known = this.parts.router.endpoints();
    const avoided = new Set(reclaims.dataCentresBeingReclaimed(known));
    const reclaimAtMs = reclaims.reclaimAtMs(present?.instanceId);
    if (present !== undefined && reclaimAtMs !== undefined) {
      avoided.add(present.dataCentre);
    }
    return avoided;
  }
}
