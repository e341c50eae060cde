import type {
  Clock,
  Log,
  LogFields,
  Metrics,
  Workspace,
} from '../ports/index.js';
import { LogPart } from '../ports/index.js';
import type { RetryBudget } from '../routing/index.js';
import { chooseGroup } from './choose-group.js';
import type { ConfigurationStore } from './configuration-store.js';
import type { EndpointPool } from './endpoint-pool.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';
import type { ForwardProtocol, ForwardRequest } from './forward-request.js';
import { ForwardRun } from './forward-run.js';
import type { IdentifiedForward } from './resolve-request.js';
import { identifyForward } from './resolve-request.js';
import type { AllowanceLedger } from './token-bucket-ledger.js';
import type { AnswerSink, Upstream } from './upstream.js';

/** Versions of a group's endpoints that a request may use. */
export interface VersionRule {
  readonly only?: string;
  readonly not?: string;
}

export const ANY_VERSION_RULE: VersionRule = {};

/** Keeps the requests of a group to versions of its endpoints. */
export interface VersionChoice {
  /** For the first attempt of a request. */
  choose(group: string): VersionRule;
  /** For each further attempt. */
  chooseAgain(group: string): VersionRule;
  /** Takes how an answer of the group went. */
  recordAnswer(answer: VersionedAnswer): void;
}

/** How one attempt went, for the judgement of a version. */
export interface VersionedAnswer {
  readonly group: string;
  readonly version: string;
  readonly route: string;
  readonly failed: boolean;
  /** Time to the answer or to the first event; undefined where none came. */
  readonly answerMs: number | undefined;
}

/** Takes the requests that endpoints began to run. */
export interface UsageCounter {
  /** `startedAgoMs` is the time since the endpoint began. */
  count(workspace: Workspace, startedAgoMs: number): void;
}

export interface ForwarderParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly protocol: ForwardProtocol;
  readonly upstream: Upstream;
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly allowances: AllowanceLedger;
  readonly budgetOf: (group: string) => RetryBudget;
  readonly versions: VersionChoice;
  readonly usage: UsageCounter;
}

/** Serves callers' requests: identify, admit, route, dispatch, stream, settle. */
export class Forwarder {
  constructor(private readonly parts: ForwarderParts) {}

  /**
   * Answers one request. The signal is aborted when the caller leaves. Throws
   * `ForwardError` where the system itself has the final answer.
   */
  async handle(
    request: ForwardRequest,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<void> {
    let identified: IdentifiedForward | undefined;
    let run: ForwardRun | undefined;
    try {
      identified = this.identify(request);
      this.admit(request, identified);
      run = this.route(request, identified, sink);
      await run.serve(signal);
      this.settle(request, identified, run, run.outcome);
    } catch (error) {
      const outcome = error instanceof ForwardError ? error.kind : 'error';
      this.settle(request, identified, run, outcome, error);
      throw error;
    }
  }

  private identify(request: ForwardRequest): IdentifiedForward {
    const { configuration } = this.parts;
    return identifyForward(configuration, request.traits, request.target);
  }

  /** Takes the request's tokens from its workspace's allowance. */
  private admit(request: ForwardRequest, { workspace }: IdentifiedForward) {
    if (workspace?.tokenRate === undefined) return;
    const { tokenRate } = workspace;
    const tokens = tokensOf(request) ?? tokenRate.plainTokens;
    const waitMs = this.parts.allowances.take(
      workspace.workspace,
      tokenRate,
      tokens,
      this.parts.clock.nowMs(),
    );
    if (waitMs === undefined) return;
    throw new ForwardError(
      ForwardErrorKind.AllowanceSpent,
      `Workspace ${workspace.workspace} has used its tokens; wait until they are back.`,
      waitMs,
    );
  }

  private route(
    request: ForwardRequest,
    identified: IdentifiedForward,
    sink: AnswerSink,
  ): ForwardRun {
    const group = chooseGroup(identified.route, request.requestId);
    if (group === undefined) {
      throw new ForwardError(
        ForwardErrorKind.NoEndpoint,
        `Route ${identified.route.name} has no target; give one a weight.`,
        0,
      );
    }
    const { budgetOf } = this.parts;
    const budget = budgetOf(group);
    return new ForwardRun(
      this.parts,
      { request, identified, group, budget },
      sink,
    );
  }

  private settle(
    request: ForwardRequest,
    identified: IdentifiedForward | undefined,
    run: ForwardRun | undefined,
    outcome: string,
    error?: unknown,
  ): void {
    const { clock, log, metrics } = this.parts;
    const elapsedMs = clock.nowMs() - request.receivedAtMs;
    const route = identified?.route.name ?? 'none';
    metrics.increment('requests', 1, { outcome });
    metrics.timingMs('request', elapsedMs, { outcome });
    const fields: LogFields = {
      requestId: request.requestId,
      route,
      outcome,
      elapsedMs: Math.round(elapsedMs),
      workspace: identified?.workspace?.workspace ?? '',
      tokens: tokensOf(request) ?? 0,
      configurationVersion: identified?.configurationVersion ?? 0,
      endpointRevision: this.parts.pool.revision,
      ...run?.summary(),
      ...(error instanceof Error ? { error: error.message } : {}),
    };
    if (error === undefined || error instanceof ForwardError) {
      log.info(LogPart.Forwarding, 'A request has ended.', fields);
    } else {
      log.error(
        LogPart.Forwarding,
        'A request met a fault of the program.',
        fields,
      );
    }
  }
}

/** Tokens that a request states it uses; undefined where it states none. */
function tokensOf({ traits }: ForwardRequest): number | undefined {
  const { usage } = traits;
  return usage && usage.promptTokens + usage.maxTokens;
}
