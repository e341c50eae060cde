import type { EngineEvent } from '../platform/index.js';
import {
  EngineEventKind,
  estimateTokens,
  LogPart,
  NotSentError,
  PlatformError,
  promptTextOf,
  RefusedError,
} from '../platform/index.js';
import type { Attempt, RouteRequest } from '../routing/index.js';
import { AttemptEnd, LeavingSource } from '../routing/index.js';
import { admitRequest } from './admit-request.js';
import { identifyRequest } from './identify-request.js';
import type { PipelineParts } from './pipeline-parts.js';
import type { IdentifiedRequest, ModelCall } from './request.js';
import {
  notRun,
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';

const RETRY_DELAY_MS = 1_000;

/** Progress of one attempt, kept for its settlement. */
interface AttemptProgress {
  firstByteAtMs?: number;
  generatedTokens: number;
  cachedTokens?: number;
}

/** Serves chat completions: identify, admit, route, dispatch, stream, settle. */
export class ModelPipeline {
  constructor(private readonly parts: PipelineParts) {}

  /**
   * Yields the answer's chunks in order and its finish event last.
   * Throws `RequestError`.
   */
  async *run(
    call: ModelCall,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const { admission, clock, rules, tokens } = this.parts;
    const request = identifyRequest(call, tokens, rules, clock.nowMs());
    const promptText = promptTextOf(call.messages);
    const demand = {
      promptTokens: estimateTokens(promptText),
      maxTokens: call.maxTokens,
    };
    const ticket = await admitRequest(admission, request, demand, signal);
    let generatedTokens = 0;
    try {
      for await (const event of this.attemptAll(
        call,
        request,
        promptText,
        signal,
      )) {
        if (event.kind === EngineEventKind.Chunk) {
          generatedTokens += event.tokens;
        }
        yield event;
      }
    } finally {
      ticket.release(generatedTokens, clock.nowMs());
    }
  }

  /** Tries endpoints in turn until one has begun to answer. */
  private async *attemptAll(
    call: ModelCall,
    request: IdentifiedRequest,
    promptText: string,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const excluded = new Set<string>();
    for (;;) {
      const route = routeRequest(call, request, promptText, excluded);
      const endpoint = this.parts.router.choose(
        route,
        this.parts.clock.nowMs(),
      );
      if (endpoint === undefined) throw this.noEndpoint(request);
      const attempt: Attempt = {
        attemptId: `${request.requestId}.${excluded.size + 1}`,
        address: endpoint.address,
        request: route,
      };
      excluded.add(endpoint.address);
      const progress: AttemptProgress = { generatedTokens: 0 };
      try {
        yield* this.attempt(call, request, attempt, progress, signal);
        return;
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        const mayRetry = progress.firstByteAtMs === undefined;
        if (!mayRetry) throw endpointFailed(error);
      }
    }
  }

  private async *attempt(
    call: ModelCall,
    request: IdentifiedRequest,
    attempt: Attempt,
    progress: AttemptProgress,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const { clock, engine, router } = this.parts;
    router.recordDispatch(attempt, clock.nowMs());
    let end = AttemptEnd.Cancelled;
    try {
      const events = engine.generate(
        attempt.address,
        {
          streamId: attempt.attemptId,
          model: request.rule.group,
          messages: call.messages,
          maxTokens: call.maxTokens,
          sentText: '',
          sentTokens: 0,
          priority: request.rule.priority,
          deadlineAtMs: request.deadlineAtMs,
        },
        signal,
      );
      for await (const event of events) {
        this.recordEvent(event, progress);
        yield event;
      }
      end = AttemptEnd.Succeeded;
    } catch (error) {
      end = this.recordFailure(error, attempt);
      throw error;
    } finally {
      if (end === AttemptEnd.Cancelled) this.cancel(attempt);
      router.recordEnd(attempt, { end, ...progress }, clock.nowMs());
    }
  }

  private recordEvent(event: EngineEvent, progress: AttemptProgress): void {
    progress.firstByteAtMs ??= this.parts.clock.nowMs();
    if (event.kind === EngineEventKind.Chunk) {
      progress.generatedTokens += event.tokens;
    } else {
      progress.cachedTokens = event.cachedTokens;
    }
  }

  private recordFailure(error: unknown, attempt: Attempt): AttemptEnd {
    const { clock, log, router } = this.parts;
    if (!(error instanceof PlatformError)) return AttemptEnd.Cancelled;
    log.warn(LogPart.Pipeline, 'An attempt failed.', {
      attemptId: attempt.attemptId,
      endpoint: attempt.address,
      error: error.message,
    });
    if (!(error instanceof RefusedError)) return AttemptEnd.Failed;
    if (error.leaving) {
      router.markLeaving(attempt.address, LeavingSource.Refusal, clock.nowMs());
    }
    return AttemptEnd.Refused;
  }

  /** Stops work at the engine that no one waits for. */
  private cancel(attempt: Attempt): void {
    const { engine, log } = this.parts;
    const { attemptId, request } = attempt;
    engine
      .cancel(attempt.address, attemptId, request.deadlineAtMs)
      .catch((error: unknown) => {
        log.warn(LogPart.Pipeline, 'A cancelled stream may still run.', {
          attemptId,
          error: String(error),
        });
      });
  }

  private noEndpoint(request: IdentifiedRequest): RequestError {
    return notRun(
      RequestErrorKind.NoEndpoint,
      `No endpoint of group ${request.rule.group} takes work at present.`,
      'Send the request again after the time in Retry-After.',
      this.parts.clock.nowMs() + RETRY_DELAY_MS,
    );
  }
}

function routeRequest(
  call: ModelCall,
  request: IdentifiedRequest,
  promptText: string,
  excluded: ReadonlySet<string>,
): RouteRequest {
  return {
    requestId: request.requestId,
    workspace: request.workspace,
    kind: request.kind,
    group: request.rule.group,
    version: request.rule.version,
    promptText,
    promptTokens: estimateTokens(promptText),
    maxTokens: call.maxTokens,
    priority: request.rule.priority,
    deadlineAtMs: request.deadlineAtMs,
    excluded,
    avoidedDataCentres: new Set(),
  };
}

function endpointFailed(error: PlatformError): RequestError {
  const wasSent = !(error instanceof NotSentError);
  return new RequestError(
    {
      kind: RequestErrorKind.EndpointFailed,
      message: `The endpoint failed: ${error.message}`,
      remedy: 'Send the request again.',
      outcome: wasSent ? RequestOutcome.Unknown : RequestOutcome.NotRun,
    },
    { cause: error },
  );
}
